#include "report.h"

#include <algorithm>

namespace Medlar::Cli {

using nlohmann::ordered_json;

namespace {

constexpr std::size_t ColumnGap = 2;

std::string shown(const ordered_json &value)
{
    if (value.is_null())
        return "-";
    if (value.is_string())
        return value.get<std::string>().empty() ? "-" : value.get<std::string>();
    if (!value.is_array())
        return value.dump();
    std::string result;
    for (const ordered_json &item : value)
        result += (result.empty() ? "" : ",") + shown(item);
    return result.empty() ? "-" : result;
}

std::string dumped(const ordered_json &value)
{
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace

Report &Report::add(const std::string &name, ordered_json value)
{
    m_values[name] = std::move(value);
    return *this;
}

Report &Report::addTable(const std::string &name, std::vector<std::string> columns)
{
    m_tables.push_back({name, std::move(columns), {}});
    return *this;
}

Report &Report::addRow(const std::vector<ordered_json> &values)
{
    m_tables.back().rows.push_back(values);
    return *this;
}

Report &Report::setText(std::string text)
{
    m_text = std::move(text);
    return *this;
}

void Report::print(std::ostream &out, OutputFormat format) const
{
    if (format == OutputFormat::Json) {
        out << dumped(toJson()) << '\n';
        return;
    }
    if (!m_text.empty()) {
        out << m_text << (m_text.back() == '\n' ? "" : "\n");
        return;
    }
    for (const auto &[name, value] : m_values.items())
        out << name << ": " << shown(value) << '\n';
    for (const Table &table : m_tables)
        printTable(out, table);
}

void Report::printTable(std::ostream &out, const Table &table)
{
    if (table.rows.empty()) {
        out << table.name << ": none\n";
        return;
    }
    std::vector<std::vector<std::string>> lines{table.columns};
    for (std::string &title : lines.front())
        std::transform(title.begin(), title.end(), title.begin(),
                       [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    for (const auto &row : table.rows) {
        lines.emplace_back();
        std::transform(row.begin(), row.end(), std::back_inserter(lines.back()), shown);
    }
    std::vector<std::size_t> widths(table.columns.size(), 0);
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            const bool isLast = i + 1 == line.size();
            out << line[i] << std::string(isLast ? 0 : widths[i] - line[i].size() + ColumnGap, ' ');
        }
        out << '\n';
    }
}

ordered_json Report::toJson() const
{
    ordered_json result = m_values;
    for (const Table &table : m_tables) {
        ordered_json rows = ordered_json::array();
        for (const auto &row : table.rows) {
            ordered_json object = ordered_json::object();
            for (std::size_t i = 0; i < row.size(); ++i)
                object[table.columns[i]] = row[i];
            rows.push_back(std::move(object));
        }
        result[table.name] = std::move(rows);
    }
    return result;
}

} // namespace Medlar::Cli
