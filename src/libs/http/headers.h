#pragma once

#include "httptypes.h"

#include <optional>
#include <string_view>

namespace Medlar::Http {

/*! Compares header names and other case-insensitive tokens. */
bool isSameToken(std::string_view a, std::string_view b);

/*! \a text with its ASCII letters in lower case. */
std::string lowerCase(std::string text);

/*! The first header called \a name, or nullptr. */
const std::string *findHeader(const Headers &headers, std::string_view name);

/*! Whether a header concerns one connection only, or is set anew for each one. */
bool isHopByHop(std::string_view name);

/*! Whether both strings are equal, in a time that does not depend on where they differ. */
bool isSameSecret(std::string_view a, std::string_view b);

/*! A decimal number without sign, or nothing. */
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace Medlar::Http
