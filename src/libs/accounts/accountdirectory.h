#pragma once

#include "clientaccount.h"
#include "keydigest.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Medlar::Accounts {

/*! An account as configured, with its API keys in plain text. */
struct AccountDefinition
{
    ClientAccount account;
    std::vector<std::string> apiKeys;
};

/*! What the configuration calls the fields, for the places in errors. */
struct AccountFieldNames
{
    std::string accounts = "accounts";
    std::string keys = "keys";
    std::string rate = "rate";
    std::string burst = "burst";
};

/*! Names the invalid account; never contains an API key. */
struct AccountError
{
    std::string detail;
};

/*!
    The accounts of one configuration version. API keys are stored as keyed hashes only, in an
    open-addressing hash table whose slots are selected by that hash, so that neither the place nor
    the duration of a look-up tells a caller anything about the stored keys. Immutable. Not
    thread-safe, since a look-up uses the hash context.
*/
class AccountDirectory
{
public:
    /*! Fails if an account has no name, two accounts have the same name or share a key, a key is
     * empty, or a rate or burst is negative or not finite. */
    static tl::expected<AccountDirectory, AccountError>
    create(std::vector<AccountDefinition> definitions, const AccountFieldNames &names = {});

    /*! The account that holds \a apiKey, or nullptr. */
    const ClientAccount *findByKey(std::string_view apiKey) const;
    const ClientAccount *findByName(const std::string &name) const;
    const std::vector<ClientAccount> &accounts() const { return m_accounts; }
    std::size_t keyCount() const { return m_keyCount; }

private:
    struct Slot
    {
        KeyDigest digest{};
        std::uint32_t account = NoAccount; //!< index in m_accounts
    };
    static constexpr std::uint32_t NoAccount = UINT32_MAX;

    explicit AccountDirectory(KeyDigester digester);

    /*! Index of the slot that holds \a digest, or of the free slot where it belongs. */
    std::size_t slotOf(const KeyDigest &digest) const;
    /*! Adds the keys of the account with \a index. */
    tl::expected<void, AccountError> addKeys(std::uint32_t index,
                                             const std::vector<std::string> &apiKeys,
                                             const AccountFieldNames &names);

    KeyDigester m_digester;
    std::vector<ClientAccount> m_accounts;
    std::map<std::string, std::uint32_t> m_byName; //!< index in m_accounts
    std::vector<Slot> m_slots;                     //!< the size is a power of two
    std::size_t m_keyCount = 0;
};

} // namespace Medlar::Accounts
