#include "Gateway/EventSplitter.h"

#include <charconv>

namespace sardineford::gateway {

namespace {

constexpr std::string_view IdField = "id:";

/// Returns the end of the last complete event in the text, 0 if there is none.
/// An event ends with an empty line; lines end with LF or CR LF.
size_t endOfEvents(std::string_view text) {
  size_t lf = text.rfind("\n\n");
  size_t crlf = text.rfind("\n\r\n");
  size_t end = 0;
  if (lf != std::string_view::npos)
    end = lf + 2;
  if (crlf != std::string_view::npos && crlf + 3 > end)
    end = crlf + 3;
  return end;
}

} // namespace

std::string EventSplitter::push(std::string_view bytes) {
  Buffer.append(bytes);
  size_t end = endOfEvents(Buffer);
  if (end == 0)
    return "";
  std::string completeEvents = Buffer.substr(0, end);
  Buffer.erase(0, end);
  recordEvents(completeEvents);
  return completeEvents;
}

void EventSplitter::recordEvents(std::string_view text) {
  bool inEvent = false;
  while (!text.empty()) {
    size_t eol = text.find('\n');
    std::string_view line = text.substr(0, eol);
    text.remove_prefix(eol + 1);
    if (!line.empty() && line.back() == '\r')
      line.remove_suffix(1);
    if (line.empty()) {
      Events += inEvent ? 1 : 0;
      inEvent = false;
      continue;
    }
    inEvent = true;
    if (line.substr(0, IdField.size()) != IdField)
      continue;
    line.remove_prefix(IdField.size());
    while (!line.empty() && line.front() == ' ')
      line.remove_prefix(1);
    uint64_t id = 0;
    auto [at, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
    if (ec == std::errc())
      LastId = id;
  }
}

} // namespace sardineford::gateway
