#include "accountdirectory.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <iterator>
#include <utility>

namespace Medlar::Accounts {

namespace {

// Slots per key. At a load of at most one half, linear probing examines 1.5 slots on average for a
// stored key and 2.5 for an unknown one.
constexpr std::size_t SlotsPerKey = 2;

std::string placeOf(const AccountFieldNames &names, std::size_t index)
{
    return names.accounts + '[' + std::to_string(index) + ']';
}

std::string placeOf(const AccountFieldNames &names, std::size_t index, const std::string &account)
{
    return placeOf(names, index) + " (" + account + ')';
}

tl::unexpected<AccountError> error(std::string detail)
{
    return tl::unexpected(AccountError{std::move(detail)});
}

bool isValidRate(double value)
{
    return std::isfinite(value) && value >= 0.0;
}

} // namespace

std::optional<std::set<std::string>> commonRegions(const std::set<std::string> &route,
                                                   const std::set<std::string> &account)
{
    if (route.empty() || account.empty())
        return route.empty() ? account : route;
    std::set<std::string> common;
    std::set_intersection(route.begin(), route.end(), account.begin(), account.end(),
                          std::inserter(common, common.end()));
    if (common.empty())
        return std::nullopt;
    return common;
}

AccountDirectory::AccountDirectory(KeyDigester digester) : m_digester(std::move(digester)) {}

tl::expected<AccountDirectory, AccountError>
AccountDirectory::create(std::vector<AccountDefinition> definitions, const AccountFieldNames &names)
{
    auto digester = KeyDigester::create();
    if (!digester)
        return error(names.accounts + ": OpenSSL cannot hash API keys");
    AccountDirectory directory(std::move(*digester));
    std::size_t keyCount = 0;
    for (const AccountDefinition &definition : definitions)
        keyCount += definition.apiKeys.size();
    std::size_t slotCount = 1;
    while (slotCount < SlotsPerKey * keyCount + 1)
        slotCount *= 2;
    directory.m_slots.resize(slotCount);
    directory.m_accounts.reserve(definitions.size());
    for (AccountDefinition &definition : definitions) {
        const auto index = static_cast<std::uint32_t>(directory.m_accounts.size());
        const ClientAccount &account
            = directory.m_accounts.emplace_back(std::move(definition.account));
        if (account.name.empty())
            return error(placeOf(names, index) + ": name is empty");
        if (const auto [other, isNew] = directory.m_byName.emplace(account.name, index); !isNew)
            return error(placeOf(names, index, account.name) + ": " + placeOf(names, other->second)
                         + " has the same name");
        if (!isValidRate(account.ratePerSecond))
            return error(placeOf(names, index, account.name) + ": " + names.rate
                         + " is negative or not finite");
        if (!isValidRate(account.burst))
            return error(placeOf(names, index, account.name) + ": " + names.burst
                         + " is negative or not finite");
        if (auto added = directory.addKeys(index, definition.apiKeys, names); !added)
            return tl::unexpected(added.error());
    }
    return directory;
}

tl::expected<void, AccountError> AccountDirectory::addKeys(std::uint32_t index,
                                                           const std::vector<std::string> &apiKeys,
                                                           const AccountFieldNames &names)
{
    for (std::size_t i = 0; i < apiKeys.size(); ++i) {
        const std::string place = placeOf(names, index, m_accounts[index].name) + ": " + names.keys
                                  + '[' + std::to_string(i) + ']';
        if (apiKeys[i].empty())
            return error(place + " is empty");
        const auto digest = m_digester.digest(apiKeys[i]);
        if (!digest)
            return error(place + " cannot be hashed");
        Slot &slot = m_slots[slotOf(*digest)];
        if (slot.account == index)
            continue;
        if (slot.account != NoAccount)
            return error(place + " is also a key of "
                         + placeOf(names, slot.account, m_accounts[slot.account].name));
        slot = {*digest, index};
        ++m_keyCount;
    }
    return {};
}

std::size_t AccountDirectory::slotOf(const KeyDigest &digest) const
{
    std::uint64_t start = 0;
    std::memcpy(&start, digest.data(), sizeof(start));
    const std::size_t mask = m_slots.size() - 1;
    std::size_t index = start & mask;
    while (m_slots[index].account != NoAccount && !isSameDigest(m_slots[index].digest, digest))
        index = (index + 1) & mask;
    return index;
}

const ClientAccount *AccountDirectory::findByKey(std::string_view apiKey) const
{
    const auto digest = m_digester.digest(apiKey);
    if (!digest)
        return nullptr;
    const Slot &slot = m_slots[slotOf(*digest)];
    return slot.account == NoAccount ? nullptr : &m_accounts[slot.account];
}

const ClientAccount *AccountDirectory::findByName(const std::string &name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? nullptr : &m_accounts[found->second];
}

} // namespace Medlar::Accounts
