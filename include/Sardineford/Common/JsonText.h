#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardineford {

/// A member of a JSON object, as its text.
struct JsonMember {
  /// With the escape sequences of the text.
  std::string_view Name;
  std::string_view Value;
};

using JsonMembers = std::vector<JsonMember>;

/// Splits the text of a JSON array or object into the texts of its elements,
/// which may be invalid JSON themselves as long as their brackets and quotes
/// are balanced. Uses constant stack for any depth. Returns nullopt if the text
/// is no array or object.
std::optional<std::vector<std::string_view>>
splitJsonArray(std::string_view text);
std::optional<JsonMembers> splitJsonObject(std::string_view text);

/// Returns the text of the member with the name, or nullopt if there is none.
/// Of several members with the name, the last one counts.
std::optional<std::string_view> findMember(const JsonMembers &members,
                                           std::string_view name);

/// Returns a JSON text without the spaces between its tokens.
std::string compactJson(std::string_view text);

} // namespace sardineford
