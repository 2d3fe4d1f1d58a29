#include "Gateway/EventSplitter.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace sardineford::gateway {

namespace {

constexpr std::string_view IdField = "id:";

/// Returns the end of the first complete event in the text, 0 if there is none.
/// An event ends with an empty line; lines end with LF or CR LF.
size_t endOfEvent(std::string_view text) {
  size_t lf = text.find("\n\n");
  size_t crlf = text.find("\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos)
    return 0;
  return lf < crlf ? lf + 2 : crlf + 3;
}

/// Returns the lines of an event without their ends.
std::vector<std::string_view> linesOf(std::string_view event) {
  std::vector<std::string_view> out;
  while (!event.empty()) {
    size_t eol = event.find('\n');
    std::string_view line = event.substr(0, eol);
    event.remove_prefix(eol == std::string_view::npos ? event.size() : eol + 1);
    if (!line.empty() && line.back() == '\r')
      line.remove_suffix(1);
    if (!line.empty())
      out.push_back(line);
  }
  return out;
}

std::optional<uint64_t> parseId(std::string_view line) {
  if (!line.starts_with(IdField))
    return std::nullopt;
  line.remove_prefix(IdField.size());
  while (line.starts_with(' '))
    line.remove_prefix(1);
  uint64_t id = 0;
  auto [at, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
  return ec == std::errc() ? std::make_optional(id) : std::nullopt;
}

} // namespace

std::string EventSplitter::push(std::string_view bytes) {
  Buffer.append(bytes);
  size_t accepted = 0;
  while (!Foreign) {
    std::string_view rest = std::string_view(Buffer).substr(accepted);
    size_t end = endOfEvent(rest);
    if (end == 0)
      break;
    Foreign = !recordEvent(rest.substr(0, end));
    accepted += Foreign ? 0 : end;
  }
  std::string completeEvents = Buffer.substr(0, accepted);
  Buffer.erase(0, accepted);
  return completeEvents;
}

bool EventSplitter::recordEvent(std::string_view event) {
  std::vector<std::string_view> lines = linesOf(event);
  bool isComment = std::all_of(lines.begin(), lines.end(),
                               [](auto it) { return it.starts_with(':'); });
  if (isComment)
    return true;
  std::optional<uint64_t> id;
  for (std::string_view it : lines)
    id = parseId(it).has_value() ? parseId(it) : id;
  if (LastId && (!id || *id <= *LastId))
    return false;
  ++Events;
  LastId = id;
  return true;
}

} // namespace sardineford::gateway
