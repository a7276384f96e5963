#pragma once

#include "objectstore.h"

#include <optional>
#include <string>
#include <string_view>

namespace Medlar::Store {

/*! Percent-encodes everything but unreserved characters and '/'. */
std::string percentEncoded(std::string_view text);

/*! Fails on incomplete or non-hexadecimal escapes. */
std::optional<std::string> percentDecoded(std::string_view text);

std::string base64Encoded(std::string_view bytes);
std::optional<std::string> base64Decoded(std::string_view text);

/*! The number in an ETag, which is quoted. */
std::optional<Version> versionFromETag(std::string_view etag);
std::string toETag(Version version);

enum class ListContent { Keys, Values };

/*! The answer to a list. \a keyPrefix is removed from the keys; ListContent::Keys leaves the values
 * empty. */
Result<std::vector<StoredObject>> parseList(const std::string &body, std::string_view keyPrefix,
                                            ListContent content = ListContent::Values);

/*! The answer to a watch. \a keyPrefix is removed from the keys. */
Result<WatchResult> parseWatch(const std::string &body, std::string_view keyPrefix);

/*! The member "revision" of a JSON object, 0 when it is missing. */
Version parseRevision(const std::string &body);

} // namespace Medlar::Store
