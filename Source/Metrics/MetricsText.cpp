#include "Metrics/MetricsText.h"

#include <cstdlib>
#include <optional>

namespace sardineford::metrics {

namespace {

/// Reads one sample character by character.
class SampleReader {
public:
  explicit SampleReader(std::string_view line) : Rest(line) {}

  std::optional<Sample> read() {
    Sample out;
    out.Name = readUntilAny("{ ");
    if (out.Name.empty())
      return std::nullopt;
    if (accept('{') && !readLabels(out.Labels))
      return std::nullopt;
    while (accept(' ')) {
    }
    std::string number(Rest);
    char *end = nullptr;
    out.Value = std::strtod(number.c_str(), &end);
    if (end == number.c_str())
      return std::nullopt;
    return out;
  }

private:
  bool accept(char c) {
    if (Rest.empty() || Rest.front() != c)
      return false;
    Rest.remove_prefix(1);
    return true;
  }

  std::string readUntilAny(std::string_view ends) {
    size_t n = std::min(Rest.find_first_of(ends), Rest.size());
    std::string out(Rest.substr(0, n));
    Rest.remove_prefix(n);
    return out;
  }

  bool readLabels(std::map<std::string, std::string> &out) {
    while (!accept('}')) {
      std::string name = readUntilAny("=");
      if (!accept('=') || !accept('"'))
        return false;
      std::string value;
      while (!accept('"')) {
        if (Rest.empty())
          return false;
        bool isEscaped = accept('\\');
        if (Rest.empty())
          return false;
        char c = Rest.front();
        Rest.remove_prefix(1);
        value.push_back(isEscaped && c == 'n' ? '\n' : c);
      }
      out[name] = std::move(value);
      accept(',');
    }
    return true;
  }

  std::string_view Rest;
};

} // namespace

std::vector<Sample> parseMetrics(std::string_view text) {
  std::vector<Sample> out;
  while (!text.empty()) {
    size_t n = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, n);
    text.remove_prefix(std::min(n + 1, text.size()));
    if (line.starts_with('#'))
      continue;
    if (std::optional<Sample> sample = SampleReader(line).read())
      out.push_back(std::move(*sample));
  }
  return out;
}

} // namespace sardineford::metrics
