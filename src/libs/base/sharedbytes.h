#pragma once

#include <memory>
#include <string>
#include <utility>

namespace Medlar::Base {

/*! Immutable bytes that are shared by all copies, such as the body of a request on its way through
   the daemon. */
class SharedBytes
{
public:
    SharedBytes() = default;
    SharedBytes(std::string bytes) // NOLINT(google-explicit-constructor): replaces a std::string
        : m_bytes(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes)))
    {}
    SharedBytes(const char *bytes) // NOLINT(google-explicit-constructor)
        : SharedBytes(std::string(bytes))
    {}
    /*! Keeps \a owner, such as a charge for the memory, as long as the bytes. */
    template<typename Owner>
    SharedBytes(std::string bytes, Owner owner)
    {
        struct Owned
        {
            std::string bytes;
            Owner owner;
        };
        const auto owned = std::make_shared<Owned>(Owned{std::move(bytes), std::move(owner)});
        m_bytes = std::shared_ptr<const std::string>(owned, &owned->bytes);
    }

    /*! Keeps \a owner as well. The bytes are not copied. */
    template<typename Owner>
    static SharedBytes withOwner(SharedBytes bytes, Owner owner)
    {
        struct Owned
        {
            SharedBytes bytes;
            Owner owner;
        };
        const auto owned = std::make_shared<Owned>(Owned{std::move(bytes), std::move(owner)});
        SharedBytes result;
        result.m_bytes = std::shared_ptr<const std::string>(owned, owned->bytes.m_bytes.get());
        return result;
    }

    const std::string &text() const
    {
        static const std::string none;
        return m_bytes ? *m_bytes : none;
    }
    // NOLINTNEXTLINE(google-explicit-constructor): replaces a std::string
    operator const std::string &() const { return text(); }

    std::size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }
    const char *data() const { return text().data(); }
    std::string::const_iterator begin() const { return text().begin(); }
    std::string::const_iterator end() const { return text().end(); }

    friend bool operator==(const SharedBytes &a, const SharedBytes &b)
    {
        return a.text() == b.text();
    }
    friend bool operator!=(const SharedBytes &a, const SharedBytes &b) { return !(a == b); }

private:
    std::shared_ptr<const std::string> m_bytes; //!< empty for no bytes
};

} // namespace Medlar::Base
