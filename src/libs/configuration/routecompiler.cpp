#include "routecompiler.h"

#include "bundlereader.h"
#include "placeholder.h"
#include "routefield.h"

#include <set>

namespace Medlar::Configuration {

namespace {

// Known to fail only in ways that the reader has reported.
bool isReadable(const ParameterValue &value)
{
    return value.isList || !value.texts.empty();
}

std::string joined(const std::set<std::string> &names)
{
    std::string result;
    for (const std::string &name : names)
        result += (result.empty() ? "" : ", ") + name;
    return result.empty() ? "none" : result;
}

std::string childPath(const std::string &parent, const std::string &name)
{
    return parent + "." + name;
}

std::string childPath(const std::string &parent, const std::string &section,
                      const std::string &name)
{
    return childPath(childPath(parent, section), name);
}

std::string pathOf(const std::string &account, const std::string &route)
{
    return "client_accounts." + account + ".routes." + route;
}

class Compiler
{
public:
    explicit Compiler(const BundleContent &content) : m_content(content) {}

    CompiledRoutes run()
    {
        m_result.table.version = m_content.version;
        for (const auto &[name, routeTemplate] : m_content.templates)
            checkTemplate(name, routeTemplate);
        for (const auto &[name, account] : m_content.accounts)
            compileAccount(name, account);
        return std::move(m_result);
    }

private:
    // What is known of a service from the first route that uses it.
    struct ServiceUse
    {
        bool keyed = false;
        std::uint32_t slotCount = 0;
        std::string path;
    };

    void checkTemplate(const std::string &name, const RouteTemplate &routeTemplate)
    {
        const std::string path = "templates." + name;
        for (const RouteField &field : routeFields()) {
            if (field.isRequired && routeTemplate.fields.count(field.name) == 0)
                addError(routeTemplate.location, childPath(path, field.name), {}, "missing",
                         field.accepted);
        }
        std::set<std::string> placeholders;
        for (const auto &[fieldName, value] : routeTemplate.fields) {
            const std::set<std::string> names = placeholdersIn(value);
            placeholders.insert(names.begin(), names.end());
            checkTemplateValue(childPath(path, fieldName), *findRouteField(fieldName), value);
        }
        for (const auto &[parameter, value] : routeTemplate.defaults) {
            if (placeholders.count(parameter) == 0)
                addError(value.location, childPath(path, "defaults", parameter), shownValue(value),
                         "the template has no such placeholder", joined(placeholders));
        }
    }

    void checkTemplateValue(const std::string &path, const RouteField &field,
                            const ParameterValue &value)
    {
        if (!isReadable(value))
            return;
        for (const std::string &text : value.texts) {
            if (!placeholdersIn(text)) {
                addError(value.location, path, printable(text), "malformed placeholder",
                         "${NAME}, where NAME has " + std::string(AcceptedName));
                return;
            }
        }
        Route scratch;
        if (hasPlaceholder(value))
            return;
        if (const auto problem = readField(field, value, scratch))
            addError(value.location, path, shownValue(value), *problem, field.accepted);
    }

    void compileAccount(const std::string &name, const ClientAccount &account)
    {
        std::set<std::string> used;
        for (const auto &[routeName, accountRoute] : account.routes) {
            const std::string path = pathOf(name, routeName);
            const auto found = m_content.templates.find(accountRoute.templateName);
            if (found == m_content.templates.end()) {
                reportUnknownTemplate(path, accountRoute);
                continue;
            }
            const std::set<std::string> placeholders = placeholdersOf(found->second);
            used.insert(placeholders.begin(), placeholders.end());
            reportUnknownParameters(path, accountRoute.parameters, placeholders);
            compileRoute(path, name, routeName, account, accountRoute, found->second);
        }
        reportUnknownParameters("client_accounts." + name, account.parameters, used);
    }

    static std::set<std::string> placeholdersOf(const RouteTemplate &routeTemplate)
    {
        std::set<std::string> result;
        for (const auto &[fieldName, value] : routeTemplate.fields) {
            const std::set<std::string> names = placeholdersIn(value);
            result.insert(names.begin(), names.end());
        }
        return result;
    }

    void reportUnknownTemplate(const std::string &path, const AccountRoute &accountRoute)
    {
        if (accountRoute.templateName.empty())
            return;
        std::set<std::string> names;
        for (const auto &[name, routeTemplate] : m_content.templates)
            names.insert(name);
        addError(accountRoute.location, path + ".template", printable(accountRoute.templateName),
                 "unknown template", joined(names));
    }

    void reportUnknownParameters(const std::string &path, const ParameterValues &parameters,
                                 const std::set<std::string> &placeholders)
    {
        for (const auto &[parameter, value] : parameters) {
            if (placeholders.count(parameter) == 0)
                addError(value.location, childPath(path, "parameters", parameter),
                         shownValue(value), "no template used here has such a placeholder",
                         joined(placeholders));
        }
    }

    void compileRoute(const std::string &path, const std::string &accountName,
                      const std::string &routeName, const ClientAccount &account,
                      const AccountRoute &accountRoute, const RouteTemplate &routeTemplate)
    {
        ParameterValues parameters = accountRoute.parameters;
        parameters.insert(account.parameters.begin(), account.parameters.end());
        parameters.insert(routeTemplate.defaults.begin(), routeTemplate.defaults.end());
        reportMissingParameters(path, accountRoute, routeTemplate, parameters);

        Route route;
        route.account = accountName;
        route.name = routeName;
        // Retrying a request that is not idempotent would run it twice, so the default follows
        // HTTP.
        route.nonIdempotentMethods = {"POST", "PATCH"};
        bool isComplete = true;
        SourceLocation slotCountLocation = accountRoute.location;
        for (const auto &[fieldName, value] : routeTemplate.fields) {
            const auto filled = fillField(path, accountRoute, fieldName, value, parameters);
            const bool isRead
                = filled && readRouteField(accountRoute, fieldName, value, *filled, path, route);
            isComplete = isComplete && isRead;
            if (isRead && fieldName == "slot_count")
                slotCountLocation = filled->location;
        }
        if (!isComplete)
            return;
        checkService(path, accountRoute, slotCountLocation, route);
        route.table = tableName(route);
        m_result.table.routes.emplace(std::make_pair(accountName, routeName), std::move(route));
    }

    void reportMissingParameters(const std::string &path, const AccountRoute &accountRoute,
                                 const RouteTemplate &routeTemplate,
                                 const ParameterValues &parameters)
    {
        for (const std::string &name : placeholdersOf(routeTemplate)) {
            if (parameters.count(name) == 0)
                addError(accountRoute.location, childPath(path, "parameters", name), {},
                         "missing parameter of template " + accountRoute.templateName,
                         "a value for ${" + name + "}");
        }
    }

    std::optional<ParameterValue> fillField(const std::string &path,
                                            const AccountRoute &accountRoute,
                                            const std::string &fieldName,
                                            const ParameterValue &value,
                                            const ParameterValues &parameters)
    {
        if (!isReadable(value))
            return std::nullopt;
        for (const std::string &text : value.texts) {
            if (!placeholdersIn(text))
                return std::nullopt;
        }
        for (const std::string &name : placeholdersIn(value)) {
            const auto parameter = parameters.find(name);
            if (parameter == parameters.end() || !isReadable(parameter->second))
                return std::nullopt;
        }
        auto filled = fillPlaceholders(value, parameters);
        if (!filled)
            addError(accountRoute.location, path, shownValue(value),
                     "a list parameter is used inside a text in templates."
                         + accountRoute.templateName + "." + fieldName,
                     "a single value");
        return filled;
    }

    bool readRouteField(const AccountRoute &accountRoute, const std::string &fieldName,
                        const ParameterValue &value, const ParameterValue &filled,
                        const std::string &path, Route &route)
    {
        const RouteField &field = *findRouteField(fieldName);
        std::optional<std::string> problem = readField(field, filled, route);
        for (const std::string &text : filled.texts) {
            if (!problem && text.size() > MaxValueBytes)
                problem = "longer than " + std::to_string(MaxValueBytes) + " bytes";
        }
        if (!problem && filled.texts.size() > MaxListItems)
            problem = "more than " + std::to_string(MaxListItems) + " items";
        // Values without a placeholder are reported once, by checkTemplate().
        if (problem && hasPlaceholder(value))
            addError(filled.location, path, shownValue(filled),
                     *problem + " in templates." + accountRoute.templateName + "." + fieldName,
                     field.accepted);
        return !problem;
    }

    void checkService(const std::string &path, const AccountRoute &accountRoute,
                      const SourceLocation &slotCountLocation, const Route &route)
    {
        if (route.keyed != (route.slotCount != 0)) {
            addError(slotCountLocation, "templates." + accountRoute.templateName + ".slot_count",
                     route.keyed ? std::string() : std::to_string(route.slotCount),
                     route.keyed ? "missing for a keyed service" : "the service is not keyed",
                     route.keyed ? findRouteField("slot_count")->accepted : "no slot_count");
            return;
        }
        const auto [position, isFirst]
            = m_services.try_emplace(route.service, ServiceUse{route.keyed, route.slotCount, path});
        const ServiceUse &known = position->second;
        if (known.slotCount != route.slotCount)
            addError(slotCountLocation, path, std::to_string(route.slotCount),
                     "the slot count of service " + route.service + " differs from that of "
                         + known.path,
                     known.keyed ? "slot_count: " + std::to_string(known.slotCount)
                                 : "keyed: false and no slot_count");
    }

    void addError(const SourceLocation &location, const std::string &path, const std::string &value,
                  const std::string &problem, const std::string &accepted)
    {
        ConfigurationError error{location, path, value, problem, accepted};
        // Several routes of one template may run into the same fault.
        if (m_reported.insert(error.toString()).second)
            m_result.errors.push_back(std::move(error));
    }

    const BundleContent &m_content;
    CompiledRoutes m_result;
    std::map<std::string, ServiceUse> m_services;
    std::set<std::string> m_reported;
};

} // namespace

CompiledRoutes compileRoutes(const BundleContent &content)
{
    return Compiler(content).run();
}

bool hasPlaceholder(const ParameterValue &value)
{
    return !placeholdersIn(value).empty();
}

std::string shownValue(const ParameterValue &value)
{
    if (!value.isList)
        return value.texts.empty() ? std::string() : printable(value.texts.front());
    std::string result;
    for (const std::string &text : value.texts)
        result += (result.empty() ? "" : ", ") + text;
    return "[" + printable(result) + "]";
}

} // namespace Medlar::Configuration
