#pragma once

#include "configurationerror.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace Medlar::Configuration {

/*! Largest accepted YAML file, in bytes. */
constexpr std::size_t MaxFileBytes = 1'000'000;

/*!
    A parsed YAML or JSON document with the location of each value. Map entries keep their order and
   duplicates, so that a key given twice can be reported.
*/
struct SourceNode
{
    enum class Kind { Null, Scalar, List, Map };

    struct Key
    {
        std::string text;
        int line = 0;
    };

    Kind kind = Kind::Null;
    std::string text;              //!< of a scalar
    std::vector<Key> keys;         //!< of a map; keys[i] belongs to items[i]
    std::vector<SourceNode> items; //!< of a list or map
    SourceLocation location;

    /*! The scalar as written, or the kind of node in words. */
    std::string shownValue() const;
};

/*!
    Parses one YAML document. Fails for malformed YAML, several documents, more than MaxFileBytes,
   too many or too deeply nested values (aliases count as often as they are used) and for text that
   is not printable ASCII.
*/
tl::expected<SourceNode, ConfigurationError> parseYaml(const std::string &file,
                                                       const std::string &text);

/*! Parses a JSON object; numbers and booleans become scalars. Locations have no line. */
tl::expected<SourceNode, ConfigurationError> parseJson(const std::string &name,
                                                       const std::string &text);

} // namespace Medlar::Configuration
