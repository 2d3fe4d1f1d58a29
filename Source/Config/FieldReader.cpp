#include "Config/FieldReader.h"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace sardineford::config {

namespace json = boost::json;

void FieldReader::fault(const std::string &field, std::string what,
                        std::string remedy) {
  Errors.push_back({Object, field, std::move(what), std::move(remedy)});
}

const json::value *FieldReader::take(const char *name) {
  Known.insert(name);
  return Spec.if_contains(name);
}

void FieldReader::text(const char *name, std::string &out, bool required) {
  const json::value *v = take(name);
  if (v && v->is_string())
    out = std::string(v->as_string());
  else if (v)
    fault(name, "is not text", "write it in quotes");
  if (required && out.empty())
    fault(name, "is missing", "give a name");
}

void FieldReader::integer(const char *name, int64_t &out, int64_t min,
                          int64_t max) {
  const json::value *v = take(name);
  if (!v)
    return;
  if (!v->is_int64()) {
    fault(name, "is not an integer", "give a whole number");
    return;
  }
  out = v->as_int64();
  if (out < min || out > max)
    fault(name, fmt::format("{} is out of range", out),
          fmt::format("give {} to {}", min, max));
}

void FieldReader::number(const char *name, double &out, double min,
                         double max) {
  const json::value *v = take(name);
  if (!v)
    return;
  if (!v->is_number()) {
    fault(name, "is not a number", "give a number");
    return;
  }
  out = v->to_number<double>();
  if (out < min || out > max)
    fault(name, fmt::format("{} is out of range", out),
          fmt::format("give {} to {}", min, max));
}

void FieldReader::milliseconds(const char *name, Milliseconds &out, int64_t min,
                               int64_t max) {
  int64_t n = out.count();
  integer(name, n, min, max);
  out = Milliseconds(n);
}

void FieldReader::boolean(const char *name, bool &out) {
  const json::value *v = take(name);
  if (!v)
    return;
  if (v->is_bool())
    out = v->as_bool();
  else
    fault(name, "is not a boolean", "give true or false");
}

void FieldReader::names(const char *name, std::vector<std::string> &out) {
  const json::value *v = take(name);
  if (!v)
    return;
  if (!v->is_array()) {
    fault(name, "is not a list", "give a list of names");
    return;
  }
  for (const json::value &it : v->as_array()) {
    if (it.is_string())
      out.emplace_back(it.as_string());
    else
      fault(name, "holds something that is not a name", "give names only");
  }
}

void FieldReader::rejectOthers() {
  for (const auto &it : Spec)
    if (!Known.contains(std::string(it.key())))
      fault(std::string(it.key()), "is not a known field",
            "remove it, or see docs/CONFIGURATION.md");
}

} // namespace sardineford::config
