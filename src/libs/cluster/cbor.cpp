#include "cbor.h"

namespace Medlar::Cluster {

using nlohmann::json;

namespace {

// The parser calls itself for each level. No message or object comes near this depth.
constexpr int MaxDepth = 32;

/*! Builds the tree as the library does, but gives up when it gets too deep. */
class BoundedTreeBuilder : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
    using Base = nlohmann::detail::json_sax_dom_parser<json>;
    explicit BoundedTreeBuilder(json &result) : Base(result, false) {}

    bool start_array(std::size_t size) // NOLINT(readability-identifier-naming)
    {
        return ++m_depth <= MaxDepth && Base::start_array(size);
    }
    bool end_array() // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return Base::end_array();
    }
    bool start_object(std::size_t size) // NOLINT(readability-identifier-naming)
    {
        return ++m_depth <= MaxDepth && Base::start_object(size);
    }
    bool end_object() // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return Base::end_object();
    }

private:
    int m_depth = 0;
};

} // namespace

json parseCbor(std::string_view bytes)
{
    // The library throws on excessive container sizes even where exceptions are switched off.
    try {
        json result;
        BoundedTreeBuilder builder(result);
        if (json::sax_parse(bytes, &builder, json::input_format_t::cbor))
            return result;
    } catch (const json::exception &) {
        // Reported like any other malformed input.
    }
    return json(json::value_t::discarded);
}

} // namespace Medlar::Cluster
