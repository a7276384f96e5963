# Functions that every library, program and test of the tree uses.

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(gflags REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(ZLIB REQUIRED)

add_library(medlar_options INTERFACE)
target_compile_options(medlar_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)
target_include_directories(medlar_options INTERFACE ${CMAKE_SOURCE_DIR}/src/libs)
target_link_libraries(medlar_options INTERFACE Threads::Threads Boost::headers)
if(MEDLAR_SANITIZE)
    # Unoptimized, the randomised runs take several times as long, and CI has a time limit. With sanitizers
    # and optimization gcc 12 warns of values as uninitialized that are not; the release build, where
    # warnings are errors, compiles the same files.
    target_compile_options(medlar_options INTERFACE -fsanitize=${MEDLAR_SANITIZE} -fno-omit-frame-pointer -O1 -Wno-error)
    target_link_options(medlar_options INTERFACE -fsanitize=${MEDLAR_SANITIZE})
    target_compile_definitions(medlar_options INTERFACE MEDLAR_SANITIZED=1)
    if(MEDLAR_SANITIZE STREQUAL "thread")
        # gcc 12 does not model atomic_thread_fence for the thread sanitizer; Boost.Asio uses it.
        target_compile_options(medlar_options INTERFACE -Wno-tsan)
    endif()
endif()

if(MEDLAR_TESTS)
    find_package(GTest REQUIRED)
endif()

# medlar_add_library(NAME SOURCES … LINKS …): a static library in its own folder.
function(medlar_add_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_link_libraries(${name} PUBLIC medlar_options ${ARG_LINKS})
endfunction()

# medlar_add_program(NAME SOURCES … LINKS …)
function(medlar_add_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE medlar_options ${ARG_LINKS})
    target_compile_definitions(${name} PRIVATE MEDLAR_VERSION="${PROJECT_VERSION}")
endfunction()

# medlar_add_test(NAME SOURCES … LINKS …): a GoogleTest program registered with CTest.
function(medlar_add_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE medlar_options ${ARG_LINKS} GTest::gmock GTest::gtest GTest::gtest_main)
    target_compile_definitions(${name} PRIVATE
        MEDLAR_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}" MEDLAR_BIN="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
