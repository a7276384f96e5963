#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace Medlar::Cluster {

/*!
    Parses untrusted CBOR. The result is a discarded value when \a bytes are malformed; check
   is_discarded() or the expected type.
*/
nlohmann::json parseCbor(std::string_view bytes);

} // namespace Medlar::Cluster
