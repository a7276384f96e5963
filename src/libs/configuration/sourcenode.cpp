#include "sourcenode.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <optional>
#include <sstream>

namespace Medlar::Configuration {

namespace {

// The deepest valid value, an item of a list parameter of a route, is at depth 7.
constexpr int MaxDepth = 12;

// Bounds the expansion of aliases; a file of MaxFileBytes without aliases stays below it.
constexpr std::size_t MaxNodes = 500'000;

ConfigurationError makeError(const std::string &file, int line, std::string problem,
                             std::string accepted)
{
    return {{file, line}, {}, {}, std::move(problem), std::move(accepted)};
}

bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

// Copies a parsed document into SourceNodes and stops at the first violated bound.
class Converter
{
public:
    explicit Converter(std::string file) : m_file(std::move(file)) {}

    SourceNode convert(const YAML::Node &node, int depth = 0)
    {
        SourceNode result = begin(node.Mark().line + 1, depth);
        if (m_error)
            return result;
        switch (node.Type()) {
        case YAML::NodeType::Scalar:
            setScalar(result, node.Scalar());
            break;
        case YAML::NodeType::Sequence:
            result.kind = SourceNode::Kind::List;
            for (const YAML::Node &item : node) {
                if (m_error)
                    break;
                result.items.push_back(convert(item, depth + 1));
            }
            break;
        case YAML::NodeType::Map:
            result.kind = SourceNode::Kind::Map;
            for (const auto &entry : node) {
                if (m_error)
                    break;
                addEntry(result, entry.first.IsScalar() ? entry.first.Scalar() : std::string(),
                         entry.first.Mark().line + 1, convert(entry.second, depth + 1));
            }
            break;
        default:
            break;
        }
        return result;
    }

    SourceNode convert(const nlohmann::json &value, int depth = 0)
    {
        SourceNode result = begin(0, depth);
        if (m_error)
            return result;
        if (value.is_string()) {
            setScalar(result, value.get<std::string>());
        } else if (value.is_boolean() || value.is_number()) {
            setScalar(result, value.dump());
        } else if (value.is_array()) {
            result.kind = SourceNode::Kind::List;
            for (const nlohmann::json &item : value)
                result.items.push_back(convert(item, depth + 1));
        } else if (value.is_object()) {
            result.kind = SourceNode::Kind::Map;
            for (const auto &[key, item] : value.items())
                addEntry(result, key, 0, convert(item, depth + 1));
        }
        return result;
    }

    const std::optional<ConfigurationError> &error() const { return m_error; }

private:
    SourceNode begin(int line, int depth)
    {
        SourceNode result;
        result.location = {m_file, line};
        if (depth > MaxDepth)
            fail(line, "values are nested too deeply",
                 "at most " + std::to_string(MaxDepth) + " levels");
        else if (++m_count > MaxNodes)
            fail(line, "too many values", "at most " + std::to_string(MaxNodes) + " values");
        return result;
    }

    void setScalar(SourceNode &node, const std::string &text)
    {
        node.kind = SourceNode::Kind::Scalar;
        node.text = text;
        if (!isPrintable(text))
            fail(node.location.line, "\"" + printable(text) + "\" is not plain text",
                 "printable ASCII characters on one line");
    }

    void addEntry(SourceNode &node, const std::string &key, int line, SourceNode value)
    {
        if (key.empty() || !isPrintable(key))
            fail(line, "a map has a key that is not a name", "printable ASCII characters");
        node.keys.push_back({key, line});
        node.items.push_back(std::move(value));
    }

    void fail(int line, std::string problem, std::string accepted)
    {
        if (!m_error)
            m_error = makeError(m_file, line, std::move(problem), std::move(accepted));
    }

    std::string m_file;
    std::size_t m_count = 0;
    std::optional<ConfigurationError> m_error;
};

class IgnoredEvents : public YAML::EventHandler
{
    using Tag = std::string;
    using Anchor = YAML::anchor_t;

    void OnDocumentStart(const YAML::Mark &) override {}
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark &, Anchor) override {}
    void OnAlias(const YAML::Mark &, Anchor) override {}
    void OnScalar(const YAML::Mark &, const Tag &, Anchor, const std::string &) override {}
    void OnSequenceStart(const YAML::Mark &, const Tag &, Anchor,
                         YAML::EmitterStyle::value) override
    {}
    void OnSequenceEnd() override {}
    void OnMapStart(const YAML::Mark &, const Tag &, Anchor, YAML::EmitterStyle::value) override {}
    void OnMapEnd() override {}
};

// Stops at the second document. YAML::LoadAll() must not be used for this: a flow indicator at the
// start of a line, such as ",", makes it read empty documents until the memory is exhausted.
const char *documentCountProblem(const std::string &text)
{
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    IgnoredEvents events;
    if (!parser.HandleNextDocument(events))
        return "the file is empty";
    if (parser.HandleNextDocument(events))
        return "the file has several YAML documents, or an indicator at the wrong place";
    return nullptr;
}

template<typename Document>
tl::expected<SourceNode, ConfigurationError> convertDocument(const std::string &file,
                                                             const Document &document)
{
    Converter converter(file);
    SourceNode root = converter.convert(document);
    if (converter.error())
        return tl::unexpected(*converter.error());
    return root;
}

} // namespace

std::string SourceNode::shownValue() const
{
    switch (kind) {
    case Kind::Null:
        return {};
    case Kind::Scalar:
        return printable(text);
    case Kind::List:
        return "(list of " + std::to_string(items.size()) + ")";
    case Kind::Map:
        return "(map of " + std::to_string(items.size()) + ")";
    }
    return {};
}

tl::expected<SourceNode, ConfigurationError> parseYaml(const std::string &file,
                                                       const std::string &text)
{
    if (text.size() > MaxFileBytes)
        return tl::unexpected(makeError(file, 0,
                                        "the file has " + std::to_string(text.size()) + " bytes",
                                        "at most " + std::to_string(MaxFileBytes) + " bytes"));
    try {
        if (const char *const problem = documentCountProblem(text))
            return tl::unexpected(makeError(file, 0, problem, "one YAML document"));
        return convertDocument(file, YAML::Load(text));
    } catch (const YAML::Exception &e) {
        return tl::unexpected(
            makeError(file, e.mark.line + 1, "malformed YAML: " + e.msg, "one YAML document"));
    }
}

tl::expected<SourceNode, ConfigurationError> parseJson(const std::string &name,
                                                       const std::string &text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return tl::unexpected(makeError(name, 0, "not a JSON object", "a stored bundle"));
    return convertDocument(name, document);
}

} // namespace Medlar::Configuration
