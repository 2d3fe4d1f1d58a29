#include "Sardineford/Http/Encoding.h"

#include <algorithm>

namespace sardineford::http {

std::string percentEncoded(std::string_view text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string out;
  for (char c : text) {
    auto byte = static_cast<unsigned char>(c);
    bool isUnreserved =
        (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
        (c >= '0' && c <= '9') ||
        std::string_view("-._~:@").find(c) != std::string_view::npos;
    if (isUnreserved) {
      out += c;
      continue;
    }
    out += '%';
    out += Digits[byte >> 4U];
    out += Digits[byte & 0xfU];
  }
  return out;
}

bool isVisibleAscii(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < '\x7f';
  });
}

} // namespace sardineford::http
