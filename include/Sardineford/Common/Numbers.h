#pragma once

#include <charconv>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string_view>

namespace sardineford {

// Numbers from outside the process. The result of a cast is undefined for a
// number that the type cannot hold.

/// Returns the number if it is whole and within the bounds.
template <std::integral T> std::optional<T> toWhole(double n, T low, T high) {
  bool isWithin = n >= static_cast<double>(low) &&
                  n < static_cast<double>(high) + 1 && std::trunc(n) == n;
  return isWithin ? std::make_optional(static_cast<T>(n)) : std::nullopt;
}

/// Returns the number without its fraction, cut to the bounds; `low` if it is
/// no number.
template <std::integral T> T toIntegerWithin(double n, T low, T high) {
  if (!(n >= static_cast<double>(low)))
    return low;
  return n >= static_cast<double>(high) ? high : static_cast<T>(n);
}

/// Parses a whole text as a number. Passes additional arguments, such as the
/// base, to std::from_chars.
template <class T, class... Format>
std::optional<T> parseNumber(std::string_view text, Format... format) {
  T out{};
  const char *end = text.data() + text.size();
  auto [at, ec] = std::from_chars(text.data(), end, out, format...);
  if (ec != std::errc() || at != end)
    return std::nullopt;
  return out;
}

} // namespace sardineford
