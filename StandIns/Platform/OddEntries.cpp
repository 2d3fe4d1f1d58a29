#include "StandIns/Platform/OddEntries.h"

#include <array>
#include <string_view>
#include <utility>

namespace sardineford::standins {

namespace {

using Fields = std::array<std::pair<std::string_view, std::string>, 8>;

/// Returns a valid entry with the text of one field replaced, or removed if the
/// text is empty.
std::string entryWith(std::string_view name, const std::string &text) {
  Fields fields = {{{"service", R"("desk")"},
                    {"address", R"("127.0.0.1:1")"},
                    {"zone", R"("a")"},
                    {"version", R"("v1")"},
                    {"slots", "8"},
                    {"state", R"("ready")"},
                    {"born", "1700000000001"},
                    {"note", R"("")"}}};
  std::string out = "{";
  for (auto &[field, value] : fields) {
    const std::string &used = field == name ? text : value;
    if (used.empty())
      continue;
    if (out.size() > 1)
      out += ',';
    out += '"' + std::string(field) + "\":" + used;
  }
  return out + "}";
}

std::string nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

const std::vector<std::string> &oddServerEntries() {
  static const std::vector<std::string> entries = {
      entryWith("note", nested(40)),
      entryWith("note", nested(30'000)),
      entryWith("note", "\"\xff\xfe\xc3\""),
      entryWith("note", R"("\ud800")"),
      entryWith("note", R"("\q")"),
      entryWith("note", "\"\x01\n\""),
      entryWith("note", "NaN"),
      entryWith("slots", "-1e99999999999"),
      entryWith("slots", "1e308"),
      entryWith("slots", "-5"),
      entryWith("slots", "18446744073709551616000"),
      entryWith("slots", R"("many")"),
      entryWith("slots", ""),
      entryWith("address", R"("127.0.0.1:-1")"),
      entryWith("address", R"("127.0.0.1:0")"),
      entryWith("address", R"("127.0.0.1:65536")"),
      entryWith("address", R"("127.0.0.1:99999999999")"),
      entryWith("address", R"("127.0.0.1:80x")"),
      entryWith("address", R"("elsewhere.example:80")"),
      entryWith("address", ""),
      entryWith("born", "1e300"),
      entryWith("born", "-1"),
      entryWith("born", "9.3e18"),
      entryWith("born", R"("soon")"),
      entryWith("state", R"("resting")"),
      entryWith("state", "7"),
      entryWith("service", "{}"),
      entryWith("service", ""),
      entryWith("zone", "[]"),
      entryWith("version", "3"),
      "{}",
      "[]",
      "null",
      "\"\"",
      "1e400"};
  return entries;
}

} // namespace sardineford::standins
