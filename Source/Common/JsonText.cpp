#include "Sardineford/Common/JsonText.h"

#include <boost/json.hpp>

namespace sardineford {

namespace json = boost::json;

namespace {

bool isSpace(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }

/// Returns the offset after the string that begins at an offset, or npos.
size_t endOfString(std::string_view text, size_t at) {
  for (++at; at < text.size(); ++at) {
    if (text[at] == '"')
      return at + 1;
    if (text[at] == '\\')
      ++at;
  }
  return std::string_view::npos;
}

/// Reads JSON text from the front.
class Scanner {
public:
  explicit Scanner(std::string_view text) : Text(text) {}

  bool atEnd() const { return Text.empty(); }

  void skipSpaces() {
    size_t n = 0;
    while (n < Text.size() && isSpace(Text[n]))
      ++n;
    Text.remove_prefix(n);
  }

  /// Takes the character if it comes next, after spaces.
  bool take(char c) {
    skipSpaces();
    if (Text.empty() || Text.front() != c)
      return false;
    Text.remove_prefix(1);
    return true;
  }

  /// Takes a string and returns its text without the quotes.
  std::optional<std::string_view> takeString() {
    skipSpaces();
    if (Text.empty() || Text.front() != '"')
      return std::nullopt;
    size_t end = endOfString(Text, 0);
    if (end == std::string_view::npos)
      return std::nullopt;
    std::string_view out = Text.substr(1, end - 2);
    Text.remove_prefix(end);
    return out;
  }

  /// Takes a value and returns its text, or nullopt if there is none or if it
  /// does not end.
  std::optional<std::string_view> takeValue() {
    skipSpaces();
    size_t end = endOfValue();
    if (end == 0 || end == std::string_view::npos)
      return std::nullopt;
    std::string_view out = Text.substr(0, end);
    Text.remove_prefix(end);
    return out;
  }

private:
  size_t endOfValue() const {
    size_t at = 0;
    size_t depth = 0;
    while (at < Text.size()) {
      char c = Text[at];
      if (c == '"') {
        at = endOfString(Text, at);
        if (at == std::string_view::npos || depth == 0)
          return at;
        continue;
      }
      bool opens = c == '{' || c == '[';
      bool closes = c == '}' || c == ']';
      if (depth == 0 && (closes || c == ',' || c == ':' || isSpace(c)))
        return at;
      ++at;
      if (opens)
        ++depth;
      if (closes && --depth == 0)
        return at;
    }
    return depth == 0 ? at : std::string_view::npos;
  }

  std::string_view Text;
};

/// Takes elements in brackets, which are the whole text.
template <class F>
bool takeElements(Scanner &in, char open, char close, F takeElement) {
  if (!in.take(open))
    return false;
  bool closed = in.take(close);
  while (!closed) {
    if (!takeElement())
      return false;
    closed = in.take(close);
    if (!closed && !in.take(','))
      return false;
  }
  in.skipSpaces();
  return in.atEnd();
}

bool isName(std::string_view text, std::string_view name) {
  if (text.find('\\') == std::string_view::npos)
    return text == name;
  boost::system::error_code ec;
  json::value v = json::parse('"' + std::string(text) + '"', ec);
  return !ec && v.is_string() && std::string_view(v.get_string()) == name;
}

} // namespace

std::optional<std::vector<std::string_view>>
splitJsonArray(std::string_view text) {
  Scanner in(text);
  std::vector<std::string_view> out;
  bool valid = takeElements(in, '[', ']', [&] {
    std::optional<std::string_view> value = in.takeValue();
    if (value)
      out.push_back(*value);
    return value.has_value();
  });
  return valid ? std::make_optional(std::move(out)) : std::nullopt;
}

std::optional<JsonMembers> splitJsonObject(std::string_view text) {
  Scanner in(text);
  JsonMembers out;
  bool valid = takeElements(in, '{', '}', [&] {
    std::optional<std::string_view> name = in.takeString();
    bool hasValue = name && in.take(':');
    std::optional<std::string_view> value;
    if (hasValue)
      value = in.takeValue();
    if (value)
      out.push_back({*name, *value});
    return value.has_value();
  });
  return valid ? std::make_optional(std::move(out)) : std::nullopt;
}

std::optional<std::string_view> findMember(const JsonMembers &members,
                                           std::string_view name) {
  for (auto it = members.rbegin(); it != members.rend(); ++it)
    if (isName(it->Name, name))
      return it->Value;
  return std::nullopt;
}

std::string compactJson(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  while (!text.empty()) {
    size_t n = text.front() == '"' ? endOfString(text, 0) : 1;
    std::string_view token = text.substr(0, n);
    if (!isSpace(token.front()))
      out += token;
    text.remove_prefix(token.size());
  }
  return out;
}

} // namespace sardineford
