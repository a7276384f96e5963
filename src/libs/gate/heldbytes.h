#pragma once

#include <cstddef>

namespace Medlar::Gate {

/*!
    Bounds the bytes of the large requests that a BackendServer works on at a time. A BackendServer
    that holds more requests than its memory has room for ends, and all its requests are lost.

    A BackendServer has to be able to hold one request of the largest legal size. Several requests
    that are not larger in all need no more memory. Small requests are bounded by the slots.
*/
class HeldBytes
{
public:
    /*! Largest body that configurations allow in practice (limits.max-body-bytes). */
    static constexpr std::size_t MaxBytes = std::size_t(64) << 20U;
    /*! Requests up to this size are not counted; ordinary ones are smaller. */
    static constexpr std::size_t SmallRequestBytes = std::size_t(64) << 10U;

    // Commands

    void add(std::size_t bytes) { m_bytes += counted(bytes); }
    void remove(std::size_t bytes) { m_bytes -= counted(bytes); }

    // Queries

    static bool isSmall(std::size_t bytes) { return bytes <= SmallRequestBytes; }
    /*! Whether a request may be started. A single one is, whatever its size. */
    bool hasRoom(std::size_t bytes) const
    {
        return isSmall(bytes) || m_bytes == 0 || m_bytes + bytes <= MaxBytes;
    }

private:
    static std::size_t counted(std::size_t bytes) { return isSmall(bytes) ? 0 : bytes; }

    std::size_t m_bytes = 0;
};

} // namespace Medlar::Gate
