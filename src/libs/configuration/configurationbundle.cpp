#include "configurationbundle.h"

#include "bundlereader.h"
#include "routecompiler.h"
#include "routefield.h"

#include <nlohmann/json.hpp>

namespace Medlar::Configuration {

using nlohmann::json;

const char *const CurrentBundleKey = "medlar/config/current";
const char *const BundleHistoryPrefix = "medlar/config/history/";

namespace {

json toJson(const ParameterValue &value)
{
    return value.isList ? json(value.texts) : json(value.texts.front());
}

json toJson(const ParameterValues &values)
{
    json result = json::object();
    for (const auto &[name, value] : values)
        result[name] = toJson(value);
    return result;
}

json toJson(const RouteTemplate &routeTemplate)
{
    json result = json::object();
    for (const auto &[name, value] : routeTemplate.fields) {
        const RouteField &field = *findRouteField(name);
        Route scratch;
        // 0.2s and 200ms have the same meaning and must have the same stored form.
        const bool isCanonical = !hasPlaceholder(value) && !readField(field, value, scratch);
        result[name] = isCanonical ? field.write(scratch) : toJson(value);
    }
    if (!routeTemplate.defaults.empty())
        result["defaults"] = toJson(routeTemplate.defaults);
    return result;
}

json toJson(const ClientAccount &account)
{
    json routes = json::object();
    for (const auto &[name, route] : account.routes) {
        json &entry = routes[name];
        entry["template"] = route.templateName;
        if (!route.parameters.empty())
            entry["parameters"] = toJson(route.parameters);
    }
    json result{{"routes", std::move(routes)}};
    if (!account.parameters.empty())
        result["parameters"] = toJson(account.parameters);
    return result;
}

json contentToJson(const BundleContent &content)
{
    json templates = json::object();
    for (const auto &[name, routeTemplate] : content.templates)
        templates[name] = toJson(routeTemplate);
    json accounts = json::object();
    for (const auto &[name, account] : content.accounts)
        accounts[name] = toJson(account);
    return {{"templates", std::move(templates)}, {"client_accounts", std::move(accounts)}};
}

} // namespace

ConfigurationBundle::ConfigurationBundle(BundleContent content, RouteTable routes)
    : m_content(std::move(content)), m_routes(std::move(routes))
{}

BundleResult ConfigurationBundle::create(BundleContent content, ConfigurationErrors errors)
{
    CompiledRoutes compiled = compileRoutes(content);
    errors.insert(errors.end(), compiled.errors.begin(), compiled.errors.end());
    if (!errors.empty())
        return tl::unexpected(std::move(errors));

    for (const auto &[service, slotCount] : compiled.table.slotCounts())
        content.slotCounts.emplace(service, slotCount);
    ConfigurationBundle bundle(std::move(content), std::move(compiled.table));
    const std::size_t size = bundle.toObject().size();
    if (size > MaxBundleBytes)
        return tl::unexpected(
            ConfigurationErrors{{{"(all files)", 0},
                                 {},
                                 {},
                                 "the stored form has " + std::to_string(size) + " bytes",
                                 "at most " + std::to_string(MaxBundleBytes) + " bytes"}});
    return bundle;
}

BundleResult ConfigurationBundle::fromFiles(const std::vector<ConfigurationFile> &files)
{
    if (files.empty() || files.size() > MaxFiles)
        return tl::unexpected(ConfigurationErrors{{{"(all files)", 0},
                                                   {},
                                                   std::to_string(files.size()),
                                                   "wrong number of files",
                                                   "1 to " + std::to_string(MaxFiles) + " files"}});
    BundleReader reader;
    for (const ConfigurationFile &file : files) {
        const auto root = parseYaml(file.name, file.text);
        if (root)
            reader.readFile(*root);
        else
            reader.addError(root.error());
    }
    return create(reader.content(), reader.errors());
}

BundleResult ConfigurationBundle::fromObject(const std::string &key, const std::string &value)
{
    if (value.size() > MaxBundleBytes)
        return tl::unexpected(
            ConfigurationErrors{{{key, 0},
                                 {},
                                 {},
                                 "the object has " + std::to_string(value.size()) + " bytes",
                                 "at most " + std::to_string(MaxBundleBytes) + " bytes"}});
    const auto root = parseJson(key, value);
    if (!root)
        return tl::unexpected(ConfigurationErrors{root.error()});
    BundleReader reader;
    reader.readStored(*root);
    return create(reader.content(), reader.errors());
}

BundleResult ConfigurationBundle::succeeding(const ConfigurationBundle &previous) const
{
    ConfigurationErrors errors = checkSlotCounts(previous, *this);
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    ConfigurationBundle result = *this;
    result.m_content.version = previous.version() + 1;
    result.m_routes.version = result.m_content.version;
    result.m_content.slotCounts.insert(previous.m_content.slotCounts.begin(),
                                       previous.m_content.slotCounts.end());
    return result;
}

ConfigurationBundle ConfigurationBundle::asFirstVersion() const
{
    ConfigurationBundle result = *this;
    result.m_content.version = 1;
    result.m_routes.version = 1;
    return result;
}

std::string ConfigurationBundle::toObject() const
{
    json object = contentToJson(m_content);
    object["version"] = m_content.version;
    object["slot_counts"] = m_content.slotCounts;
    return object.dump();
}

bool ConfigurationBundle::hasSameContent(const ConfigurationBundle &other) const
{
    return contentToJson(m_content) == contentToJson(other.m_content);
}

ConfigurationErrors checkSlotCounts(const ConfigurationBundle &previous,
                                    const ConfigurationBundle &next)
{
    ConfigurationErrors errors;
    const auto &known = previous.content().slotCounts;
    for (const auto &[path, route] : next.compile().routes) {
        const auto found = known.find(route.service);
        if (!route.keyed || found == known.end() || found->second == route.slotCount)
            continue;
        const auto &account = next.content().accounts.at(path.first);
        errors.push_back(
            {account.routes.at(path.second).location,
             "client_accounts." + path.first + ".routes." + path.second,
             std::to_string(route.slotCount),
             "the slot count of service " + route.service + " cannot change once it is applied",
             std::to_string(found->second)});
    }
    return errors;
}

tl::expected<RouteTable, std::vector<ConfigurationError>>
routeTableFromObject(const std::string &objectValue)
{
    auto bundle = ConfigurationBundle::fromObject(CurrentBundleKey, objectValue);
    if (!bundle)
        return tl::unexpected(std::move(bundle.error()));
    return bundle->compile();
}

} // namespace Medlar::Configuration
