#include "StandIns/Relay/EndlessResponse.h"

#include <boost/algorithm/string/predicate.hpp>

namespace sardineford::standins {

namespace {

/// At least this many bytes are sent at once.
constexpr size_t BlockBytes = 25'000;
/// Shorter than the silence after which a stream is attempted elsewhere.
constexpr Milliseconds TricklePause{400};
constexpr std::string_view Eol = "\r\n";
constexpr std::string_view Chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string repeat(std::string_view text) {
  std::string out;
  while (out.size() < BlockBytes)
    out += text;
  return out;
}

/// Returns status line and headers without the empty line and the headers that
/// tell the length of the body.
std::string withoutFraming(std::string_view head) {
  std::string out;
  while (!head.empty() && !head.starts_with(Eol)) {
    size_t end = head.find(Eol);
    std::string_view line = head.substr(0, end);
    head.remove_prefix(end == std::string_view::npos ? head.size()
                                                     : end + Eol.size());
    if (!boost::algorithm::istarts_with(line, "Transfer-Encoding:") &&
        !boost::algorithm::istarts_with(line, "Content-Length:"))
      out.append(line).append(Eol);
  }
  return out;
}

/// The same of a response that is no stream.
std::string plainHead(std::string head, std::string_view status) {
  size_t type = head.find("Content-Type:");
  if (type != std::string::npos)
    head.erase(type, head.find(Eol, type) + Eol.size() - type);
  return "HTTP/1.1 " + std::string(status) + head.substr(head.find(Eol)) +
         std::string(Eol);
}

} // namespace

std::string_view toString(EndlessForm form) {
  constexpr std::array<std::string_view, EndlessForms.size() + 7> Names = {
      "header",     "informational", "chunk size", "chunk extension", "trailer",
      "event",      "comment lines", "comments",   "one-byte chunks", "body",
      "error body", "trickle",       "letters",    "empty lines",     "lines",
      "zeros",      "reason phrase", "headers"};
  return Names[static_cast<size_t>(form)];
}

EndlessBytes makeEndless(EndlessForm form, std::string_view head) {
  std::string fields = withoutFraming(head);
  std::string chunked = fields + std::string(Chunked);
  std::string stream = fields + std::string(Eol);
  switch (form) {
  case EndlessForm::Header:
    return {fields + "X: ", repeat("a")};
  case EndlessForm::Informational:
    return {"", repeat("HTTP/1.1 100 Continue\r\n\r\n")};
  case EndlessForm::ChunkSize:
    return {chunked, repeat("a")};
  case EndlessForm::ChunkExtension:
    return {chunked + "1;", repeat("a")};
  case EndlessForm::Trailer:
    return {chunked + "0\r\nX: ", repeat("a")};
  case EndlessForm::Event:
    return {stream + "id: 1\ndata: ", repeat("a")};
  case EndlessForm::CommentLines:
    return {stream, repeat(":a\n")};
  case EndlessForm::Comments:
    return {stream, repeat(":a\n\n")};
  case EndlessForm::OneByteChunks:
    return {chunked, repeat("1\r\na\r\n")};
  case EndlessForm::Trickle:
    return {chunked + "f\r\nid: 1\ndata: a\n\n\r\n", "1\r\na\r\n",
            TricklePause};
  case EndlessForm::Letters:
    return {"", repeat("a")};
  case EndlessForm::EmptyLines:
    return {"", repeat("\r\n")};
  case EndlessForm::Lines:
    return {"", repeat("a\r\n")};
  case EndlessForm::Zeros:
    return {"", std::string(BlockBytes, '\0')};
  case EndlessForm::Reason:
    return {"HTTP/1.1 200 ", repeat("a")};
  case EndlessForm::Headers:
    return {fields, repeat("X: a\r\n")};
  case EndlessForm::Body:
    return {plainHead(std::move(fields), "200 OK"), repeat("a")};
  case EndlessForm::ErrorBody:
    return {plainHead(std::move(fields), "500 Internal Server Error"),
            repeat("a")};
  }
  return {};
}

} // namespace sardineford::standins
