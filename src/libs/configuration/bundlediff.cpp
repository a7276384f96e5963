#include "bundlediff.h"

#include "routecompiler.h"
#include "routefield.h"

#include <map>

namespace Medlar::Configuration {

namespace {

using Fields = std::map<std::string, std::string>;
using Subjects = std::map<std::string, Fields>;

std::string shown(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string canonical(const RouteField &field, const ParameterValue &value)
{
    Route scratch;
    if (!hasPlaceholder(value) && !readField(field, value, scratch))
        return shown(field.write(scratch));
    return shownValue(value);
}

Subjects templatesOf(const ConfigurationBundle &bundle)
{
    Subjects result;
    for (const auto &[name, routeTemplate] : bundle.content().templates) {
        Fields &fields = result[name];
        for (const auto &[field, value] : routeTemplate.fields)
            fields[field] = canonical(*findRouteField(field), value);
        for (const auto &[parameter, value] : routeTemplate.defaults)
            fields["defaults." + parameter] = shownValue(value);
    }
    return result;
}

Subjects routesOf(const ConfigurationBundle &bundle)
{
    Subjects result;
    for (const auto &[path, route] : bundle.compile().routes) {
        Fields &fields = result[path.first + "/" + path.second];
        for (const RouteField &field : routeFields())
            fields[field.name] = shown(field.write(route));
    }
    return result;
}

std::string valueOf(const Fields &fields, const std::string &name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

struct Kinds
{
    ChangeKind added;
    ChangeKind removed;
    ChangeKind changed;
};

void compareFields(const std::string &subject, const Fields &before, const Fields &after,
                   ChangeKind kind, std::vector<ConfigurationChange> &changes)
{
    Fields names = before;
    names.insert(after.begin(), after.end());
    for (const auto &[name, value] : names) {
        const std::string oldValue = valueOf(before, name);
        const std::string newValue = valueOf(after, name);
        if (oldValue != newValue)
            changes.push_back({kind, subject, name, oldValue, newValue});
    }
}

void compare(const Subjects &before, const Subjects &after, const Kinds &kinds,
             std::vector<ConfigurationChange> &changes)
{
    Subjects names = before;
    names.insert(after.begin(), after.end());
    for (const auto &[subject, fields] : names) {
        const auto oldFields = before.find(subject);
        const auto newFields = after.find(subject);
        if (oldFields == before.end())
            changes.push_back({kinds.added, subject, {}, {}, {}});
        else if (newFields == after.end())
            changes.push_back({kinds.removed, subject, {}, {}, {}});
        else
            compareFields(subject, oldFields->second, newFields->second, kinds.changed, changes);
    }
}

} // namespace

std::string_view toString(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::TemplateAdded:
        return "template-added";
    case ChangeKind::TemplateRemoved:
        return "template-removed";
    case ChangeKind::TemplateChanged:
        return "template-changed";
    case ChangeKind::RouteAdded:
        return "route-added";
    case ChangeKind::RouteRemoved:
        return "route-removed";
    case ChangeKind::RouteChanged:
        return "route-changed";
    }
    return "unknown";
}

std::vector<ConfigurationChange> diff(const ConfigurationBundle *before,
                                      const ConfigurationBundle &after)
{
    std::vector<ConfigurationChange> changes;
    compare(before != nullptr ? templatesOf(*before) : Subjects(), templatesOf(after),
            {ChangeKind::TemplateAdded, ChangeKind::TemplateRemoved, ChangeKind::TemplateChanged},
            changes);
    compare(before != nullptr ? routesOf(*before) : Subjects(), routesOf(after),
            {ChangeKind::RouteAdded, ChangeKind::RouteRemoved, ChangeKind::RouteChanged}, changes);
    return changes;
}

} // namespace Medlar::Configuration
