#include "Gateway/EventSplitter.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace sardineford::gateway {

namespace {

constexpr std::string_view IdField = "id:";

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

size_t EventSplitter::findEnd(size_t eventStart) {
  for (;;) {
    size_t eol = Buffer.find('\n', Searched);
    if (eol == std::string::npos) {
      Searched = Buffer.size();
      return 0;
    }
    bool isEmpty =
        eol == LineStart || (eol == LineStart + 1 && Buffer[LineStart] == '\r');
    bool isFirst = LineStart == eventStart;
    LineStart = eol + 1;
    Searched = LineStart;
    if (isEmpty && !isFirst)
      return LineStart;
  }
}

std::string EventSplitter::push(std::string_view bytes) {
  Buffer.append(bytes);
  size_t accepted = 0;
  while (!Foreign) {
    size_t end = findEnd(accepted);
    if (end == 0)
      break;
    Foreign =
        !recordEvent(std::string_view(Buffer).substr(accepted, end - accepted));
    accepted = Foreign ? accepted : end;
  }
  std::string completeEvents = Buffer.substr(0, accepted);
  Buffer.erase(0, accepted);
  LineStart -= std::min(LineStart, accepted);
  Searched -= std::min(Searched, accepted);
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
