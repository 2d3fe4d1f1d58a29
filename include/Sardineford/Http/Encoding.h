#pragma once

#include <string>
#include <string_view>

namespace sardineford::http {

/// Encodes a text as one segment or query value of a request target.
std::string percentEncoded(std::string_view text);

/// Returns whether a text is not empty and holds only visible ASCII characters,
/// so that it can be part of a header value.
bool isVisibleAscii(std::string_view text);

} // namespace sardineford::http
