#include "Sardineford/Settings/Settings.h"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <fstream>
#include <sstream>

namespace sardineford::settings {

namespace json = boost::json;

namespace {

std::map<std::string, Declaration> &registry() {
  static std::map<std::string, Declaration> instance;
  return instance;
}

std::string_view typeName(const Value &v) {
  constexpr std::array<std::string_view, 4> Names = {"a boolean", "an integer",
                                                     "a number", "text"};
  return Names[v.index()];
}

std::string valueText(const Value &v) {
  return std::visit([](const auto &it) { return fmt::format("{}", it); }, v);
}

/// Validates one settings file and collects its errors.
class Validator {
public:
  Validator(std::string file) : File(std::move(file)) {}

  void checkObject(const json::object &o, const std::string &prefix) {
    for (const auto &it : o) {
      std::string key = prefix + std::string(it.key());
      if (it.value().is_object())
        checkObject(it.value().as_object(), key + ".");
      else
        checkSetting(key, it.value());
    }
  }

  /// Adds the defaults and throws if the file has errors.
  void finish() {
    for (const auto &[key, d] : declarations()) {
      auto [it, isNew] = Values.emplace(key, d.Default);
      if (d.Required && std::get<std::string>(it->second).empty())
        addError(key, "is missing", "set it; " + d.Help);
    }
    if (!Errors.empty())
      throw Error(ErrorKind::BadSettings, Errors,
                  "correct the keys named above and check again with "
                  "--check-settings");
  }

  std::map<std::string, Value> Values;

private:
  void addError(const std::string &key, const std::string &problem,
                const std::string &remedy) {
    Errors += fmt::format("{}: {}: {}; {}\n", File, key, problem, remedy);
  }

  void checkSetting(const std::string &key, const json::value &v) {
    auto it = declarations().find(key);
    if (it == declarations().end()) {
      addError(key, "is not a known setting",
               "remove it, or see docs/CONFIGURATION.md for the right name");
      return;
    }
    const Declaration &d = it->second;
    std::optional<Value> value = convert(v, d.Default);
    if (!value) {
      addError(key, "has the wrong type",
               fmt::format("give {}", typeName(d.Default)));
      return;
    }
    if (!inRange(*value, d)) {
      addError(key, fmt::format("{} is out of range", valueText(*value)),
               fmt::format("give {} to {}{}{}", d.Min, d.Max,
                           d.Unit.empty() ? "" : " ", d.Unit));
      return;
    }
    Values[key] = std::move(*value);
  }

  /// Converts a JSON value to the type of the default value.
  static std::optional<Value> convert(const json::value &v,
                                      const Value &defaultValue) {
    if (std::holds_alternative<bool>(defaultValue) && v.is_bool())
      return Value(v.as_bool());
    if (std::holds_alternative<int64_t>(defaultValue) && v.is_int64())
      return Value(v.as_int64());
    if (std::holds_alternative<double>(defaultValue) && v.is_number())
      return Value(v.to_number<double>());
    if (std::holds_alternative<std::string>(defaultValue) && v.is_string())
      return Value(std::string(v.as_string()));
    return std::nullopt;
  }

  static bool inRange(const Value &v, const Declaration &d) {
    double n = d.Min;
    if (const auto *i = std::get_if<int64_t>(&v))
      n = static_cast<double>(*i);
    if (const auto *f = std::get_if<double>(&v))
      n = *f;
    return n >= d.Min && n <= d.Max;
  }

  std::string File;
  std::string Errors;
};

} // namespace

const std::map<std::string, Declaration> &declarations() { return registry(); }

template <class T>
Setting<T>::Setting(std::string key, T defaultValue, double min, double max,
                    std::string unit, std::string help)
    : Key(key) {
  Declaration d{key, defaultValue, min, max, std::move(unit), std::move(help)};
  registry()[key] = std::move(d);
}

template <class T>
Setting<T>::Setting(std::string key, T defaultValue, std::string help,
                    bool required)
    : Key(key) {
  Declaration d{key, defaultValue, 0, 0, "", std::move(help), required};
  registry()[key] = std::move(d);
}

template <class T> Setting<T> Setting<T>::reloadable() const {
  registry()[Key].Reloadable = true;
  return *this;
}

template class Setting<bool>;
template class Setting<int64_t>;
template class Setting<double>;
template class Setting<std::string>;

Settings Settings::parse(const std::string &text, const std::string &file) {
  boost::system::error_code ec;
  json::value root = json::parse(text, ec);
  if (ec || !root.is_object())
    throw Error(ErrorKind::BadSettings,
                file + ": is not a JSON object" +
                    (ec ? " (" + ec.message() + ")" : ""),
                "write one JSON object");
  Validator validator(file);
  validator.checkObject(root.as_object(), "");
  validator.finish();
  Settings s;
  s.Values = std::move(validator.Values);
  return s;
}

Settings Settings::load(const std::string &file) {
  std::ifstream in(file);
  if (!in)
    throw Error(ErrorKind::BadSettings, file + ": cannot be read",
                "name a readable file with --settings");
  std::ostringstream text;
  text << in.rdbuf();
  return parse(text.str(), file);
}

std::vector<Change> Settings::applyReloadable(const Settings &newer) {
  std::vector<Change> out;
  for (auto &[key, value] : Values) {
    const Value &other = newer.Values.at(key);
    if (value == other)
      continue;
    bool reloadable = declarations().at(key).Reloadable;
    out.push_back({key, valueText(value), valueText(other), reloadable});
    if (reloadable)
      value = other;
  }
  return out;
}

const Value &Settings::valueOf(const std::string &key) const {
  return Values.at(key);
}

std::string describeAll() {
  std::string out =
      "| key | type | default | range | unit | changes | meaning |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const auto &[key, d] : declarations()) {
    bool isNumber = d.Default.index() == 1 || d.Default.index() == 2;
    std::string range = isNumber ? fmt::format("{} to {}", d.Min, d.Max) : "";
    out += fmt::format("| `{}` | {} | {} | {} | {} | {} | {} |\n", key,
                       typeName(d.Default), valueText(d.Default), range, d.Unit,
                       d.Reloadable ? "while running" : "at a restart", d.Help);
  }
  return out;
}

} // namespace sardineford::settings
