#include "Config/FieldReader.h"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace sardineford::config {

namespace json = boost::json;

void FieldReader::addError(const std::string &field, std::string message,
                           std::string remedy) {
  Errors.push_back({Object, field, std::move(message), std::move(remedy)});
}

const json::value *FieldReader::findField(const char *name) {
  KnownFields.insert(name);
  return Spec.if_contains(name);
}

void FieldReader::text(const char *name, std::string &out, bool required) {
  const json::value *value = findField(name);
  if (value && value->is_string())
    out = std::string(value->as_string());
  else if (value)
    addError(name, "is not a string", "enclose the value in quotes");
  if (required && out.empty())
    addError(name, "is missing", "give a name");
}

void FieldReader::integer(const char *name, int64_t &out, int64_t min,
                          int64_t max) {
  const json::value *value = findField(name);
  if (!value)
    return;
  if (!value->is_int64()) {
    addError(name, "is not an integer", "give an integer");
    return;
  }
  out = value->as_int64();
  if (out < min || out > max)
    addError(name, fmt::format("{} is out of range", out),
             fmt::format("give {} to {}", min, max));
}

void FieldReader::number(const char *name, double &out, double min,
                         double max) {
  const json::value *value = findField(name);
  if (!value)
    return;
  if (!value->is_number()) {
    addError(name, "is not a number", "give a number");
    return;
  }
  out = value->to_number<double>();
  if (out < min || out > max)
    addError(name, fmt::format("{} is out of range", out),
             fmt::format("give {} to {}", min, max));
}

void FieldReader::milliseconds(const char *name, Milliseconds &out, int64_t min,
                               int64_t max) {
  int64_t n = out.count();
  integer(name, n, min, max);
  out = Milliseconds(n);
}

void FieldReader::boolean(const char *name, bool &out) {
  const json::value *value = findField(name);
  if (!value)
    return;
  if (value->is_bool())
    out = value->as_bool();
  else
    addError(name, "is not a boolean", "give true or false");
}

void FieldReader::names(const char *name, std::vector<std::string> &out) {
  const json::value *value = findField(name);
  if (!value)
    return;
  if (!value->is_array()) {
    addError(name, "is not a list", "give a list of names");
    return;
  }
  for (const json::value &it : value->as_array()) {
    if (it.is_string())
      out.emplace_back(it.as_string());
    else
      addError(name, "has an element that is not a string",
               "give a list of names");
  }
}

void FieldReader::rejectUnknownFields() {
  for (const auto &it : Spec)
    if (!KnownFields.contains(std::string(it.key())))
      addError(std::string(it.key()), "is not a known field",
               "remove it, or see docs/CONFIGURATION.md");
}

} // namespace sardineford::config
