#include "bundlereader.h"

#include "cluster/slottable.h"
#include "routefield.h"
#include "units.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace Medlar::Configuration {

const char *const AcceptedName
    = "1 to 64 letters, digits, '-', '_' or '.', starting with a letter or digit";

bool isValidName(const std::string &name)
{
    if (name.empty() || name.size() > MaxNameBytes
        || std::isalnum(static_cast<unsigned char>(name.front())) == 0)
        return false;
    return std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
}

void BundleReader::readFile(const SourceNode &root)
{
    if (root.kind != SourceNode::Kind::Map) {
        addError(root.location, {}, root.shownValue(), "the file has no sections",
                 "a map with templates or client_accounts");
        return;
    }
    readEntries({}, root, 2, [this](const auto &key, const auto &location, const auto &value) {
        if (key == "templates" || key == "client_accounts")
            readSection(key, value);
        else
            addError(location, key, value.shownValue(), "unknown section",
                     "templates, client_accounts");
    });
}

void BundleReader::readStored(const SourceNode &root)
{
    readEntries({}, root, 4, [this](const auto &key, const auto &location, const auto &value) {
        if (key == "templates" || key == "client_accounts")
            readSection(key, value);
        else if (key == "version")
            readVersion(value);
        else if (key == "slot_counts")
            readSlotCounts(value);
        else
            addError(location, key, value.shownValue(), "unknown section",
                     "client_accounts, slot_counts, templates, version");
    });
    if (m_content.version == 0 && m_errors.empty())
        addError(root.location, "version", {}, "missing", "a whole number from 1");
}

void BundleReader::readSection(const std::string &name, const SourceNode &value)
{
    if (name == "templates") {
        readEntries(name, value, MaxTemplates,
                    [this](const auto &key, const auto &location, const auto &node) {
                        readTemplate(key, location, node);
                    });
    } else {
        readEntries(name, value, MaxAccounts,
                    [this](const auto &key, const auto &location, const auto &node) {
                        readAccount(key, location, node);
                    });
    }
}

// Calls the reader for each entry of a map whose key is a valid name and not a duplicate.
void BundleReader::readEntries(const std::string &path, const SourceNode &node,
                               std::size_t maxEntries, const EntryReader &reader)
{
    if (node.kind != SourceNode::Kind::Map) {
        addError(node.location, path, node.shownValue(), "not a map", "a map of names to values");
        return;
    }
    if (node.keys.size() > maxEntries)
        addError(node.location, path, node.shownValue(), "too many entries",
                 "at most " + std::to_string(maxEntries));
    std::set<std::string> seen;
    for (std::size_t i = 0; i < node.keys.size(); ++i) {
        const std::string &key = node.keys[i].text;
        const SourceLocation location{node.location.file, node.keys[i].line};
        const std::string keyPath = path.empty() ? printable(key) : path + "." + printable(key);
        if (!isValidName(key))
            addError(location, keyPath, printable(key), "invalid name", AcceptedName);
        else if (!seen.insert(key).second)
            addError(location, keyPath, {}, "given twice", "each name once");
        else
            reader(key, location, node.items[i]);
    }
}

void BundleReader::readTemplate(const std::string &name, const SourceLocation &location,
                                const SourceNode &node)
{
    const std::string path = "templates." + name;
    const auto known = m_content.templates.find(name);
    if (known != m_content.templates.end()) {
        addError(location, path, {},
                 "already defined in " + known->second.location.file + ":"
                     + std::to_string(known->second.location.line),
                 "each template once");
        return;
    }
    RouteTemplate result;
    result.location = location;
    readEntries(path, node, routeFields().size() + 1,
                [&](const auto &key, const auto &keyLocation, const auto &value) {
                    const std::string fieldPath = path + "." + key;
                    ParameterValue field;
                    if (key == "defaults")
                        result.defaults = readParameters(fieldPath, value);
                    else if (findRouteField(key) == nullptr)
                        addError(keyLocation, fieldPath, value.shownValue(), "unknown field",
                                 routeFieldNames() + ", defaults");
                    else if (readValue(fieldPath, keyLocation, value, field))
                        result.fields[key] = std::move(field);
                    else
                        result.fields[key]; // Avoids a second report that the field is missing.
                });
    m_content.templates[name] = std::move(result);
}

void BundleReader::readAccount(const std::string &name, const SourceLocation &location,
                               const SourceNode &node)
{
    const std::string path = "client_accounts." + name;
    const auto known = m_content.accounts.find(name);
    if (known != m_content.accounts.end()) {
        addError(location, path, {},
                 "already defined in " + known->second.location.file + ":"
                     + std::to_string(known->second.location.line),
                 "each account once");
        return;
    }
    ClientAccount account;
    account.location = location;
    readEntries(path, node, 2, [&](const auto &key, const auto &keyLocation, const auto &value) {
        if (key == "parameters") {
            account.parameters = readParameters(path + ".parameters", value);
        } else if (key == "routes") {
            const std::string routesPath = path + ".routes";
            readEntries(routesPath, value, MaxRoutesPerAccount,
                        [&](const auto &route, const auto &routeLocation, const auto &routeNode) {
                            account.routes[route]
                                = readRoute(routesPath + "." + route, routeLocation, routeNode);
                        });
        } else {
            addError(keyLocation, path + "." + key, value.shownValue(), "unknown field",
                     "parameters, routes");
        }
    });
    if (account.routes.empty())
        addError(location, path + ".routes", {}, "the account has no routes", "at least one route");
    m_content.accounts[name] = std::move(account);
}

AccountRoute BundleReader::readRoute(const std::string &path, const SourceLocation &location,
                                     const SourceNode &node)
{
    AccountRoute route;
    route.location = location;
    bool hasTemplate = false;
    readEntries(path, node, 2, [&](const auto &key, const auto &keyLocation, const auto &value) {
        if (key == "parameters") {
            route.parameters = readParameters(path + ".parameters", value);
        } else if (key == "template") {
            hasTemplate = true;
            if (value.kind == SourceNode::Kind::Scalar)
                route.templateName = value.text;
            else
                addError(keyLocation, path + ".template", value.shownValue(), "not a name",
                         "the name of a template");
        } else {
            addError(keyLocation, path + "." + key, value.shownValue(), "unknown field",
                     "template, parameters");
        }
    });
    if (!hasTemplate && node.kind == SourceNode::Kind::Map)
        addError(location, path + ".template", {}, "missing", "the name of a template");
    return route;
}

ParameterValues BundleReader::readParameters(const std::string &path, const SourceNode &node)
{
    ParameterValues result;
    readEntries(path, node, MaxParameters,
                [&](const auto &key, const auto &location, const auto &value) {
                    const std::string valuePath = path + "." + key;
                    ParameterValue parameter;
                    if (readValue(valuePath, location, value, parameter)) {
                        for (const std::string &text : parameter.texts) {
                            if (text.find("${") != std::string::npos)
                                addError(location, valuePath, printable(text),
                                         "a parameter has a placeholder", "a value without ${...}");
                        }
                    }
                    result[key] = std::move(parameter);
                });
    return result;
}

bool BundleReader::readValue(const std::string &path, const SourceLocation &location,
                             const SourceNode &node, ParameterValue &out)
{
    out.location = location;
    out.isList = node.kind == SourceNode::Kind::List;
    const std::vector<SourceNode> single{out.isList ? SourceNode() : node};
    const std::vector<SourceNode> &items = out.isList ? node.items : single;
    if (items.size() > MaxListItems) {
        addError(location, path, node.shownValue(), "too many items",
                 "at most " + std::to_string(MaxListItems));
        return false;
    }
    for (const SourceNode &item : items) {
        if (item.kind != SourceNode::Kind::Scalar || item.text.size() > MaxValueBytes) {
            addError(location, path, item.shownValue(),
                     item.kind == SourceNode::Kind::Null ? "empty" : "not a plain value",
                     "a value of at most " + std::to_string(MaxValueBytes)
                         + " bytes, or a list of such values");
            return false;
        }
        out.texts.push_back(item.text);
    }
    return true;
}

void BundleReader::readVersion(const SourceNode &node)
{
    const auto version = parseCount(node.text);
    if (version && *version > 0)
        m_content.version = *version;
    else
        addError(node.location, "version", node.shownValue(), "invalid version",
                 "a whole number from 1");
}

void BundleReader::readSlotCounts(const SourceNode &node)
{
    readEntries("slot_counts", node, MaxTemplates,
                [this](const auto &service, const auto &location, const auto &value) {
                    const auto count = parseCount(value.text);
                    if (count && *count > 0 && *count <= Cluster::MaxSlotsPerService)
                        m_content.slotCounts[service] = static_cast<std::uint32_t>(*count);
                    else
                        addError(location, "slot_counts." + service, value.shownValue(),
                                 "invalid slot count",
                                 "1 to " + std::to_string(Cluster::MaxSlotsPerService));
                });
}

void BundleReader::addError(const SourceLocation &location, const std::string &path,
                            const std::string &value, const std::string &problem,
                            const std::string &accepted)
{
    m_errors.push_back({location, path, value, problem, accepted});
}

} // namespace Medlar::Configuration
