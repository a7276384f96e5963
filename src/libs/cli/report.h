#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace Medlar::Cli {

enum class OutputFormat { Table, Json };

/*! The result of a command: named values and tables, printed as text or as one JSON object. */
class Report
{
public:
    /*! Adds a value. Names are in lower case with underscores. */
    Report &add(const std::string &name, nlohmann::ordered_json value);

    /*! Adds a table; each row has one value for each column. */
    Report &addTable(const std::string &name, std::vector<std::string> columns);
    /*! Adds a row to the last table. */
    Report &addRow(const std::vector<nlohmann::ordered_json> &values);

    /*! Text that replaces values and tables in the table format. */
    Report &setText(std::string text);

    bool isEmpty() const { return m_values.empty() && m_tables.empty() && m_text.empty(); }

    void print(std::ostream &out, OutputFormat format) const;

private:
    struct Table
    {
        std::string name;
        std::vector<std::string> columns;
        std::vector<std::vector<nlohmann::ordered_json>> rows;
    };

    static void printTable(std::ostream &out, const Table &table);
    nlohmann::ordered_json toJson() const;

    nlohmann::ordered_json m_values = nlohmann::ordered_json::object();
    std::vector<Table> m_tables;
    std::string m_text;
};

} // namespace Medlar::Cli
