#pragma once

#include "Sardineford/Common/Error.h"
#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sardineford::settings {

using Value = std::variant<bool, int64_t, double, std::string>;

/// Describes one setting. The key is a path in the settings file, such as
/// "entry.listen".
struct Declaration {
  std::string Key;
  Value Default;
  /// Inclusive bounds of a number; ignored for text and booleans.
  double Min = 0;
  double Max = 0;
  std::string Unit;
  std::string Help;
  /// The text must not be empty.
  bool Required = false;
  /// A running process can reload the value; other settings need a restart.
  bool Reloadable = false;
};

/// Returns all declared settings, ordered by key.
const std::map<std::string, Declaration> &declarations();

/// A setting of type T. The constructor adds it to declarations(), so each
/// setting is declared once, as a constant.
template <class T> class Setting {
public:
  Setting(std::string key, T defaultValue, double min, double max,
          std::string unit, std::string help);
  Setting(std::string key, T defaultValue, std::string help,
          bool required = false);

  const std::string &key() const { return Key; }
  /// Marks the setting as reloadable and returns a copy of it.
  Setting reloadable() const;

private:
  std::string Key;
};

/// A value that differs between two versions of a settings file.
struct Change {
  std::string Key;
  std::string From;
  std::string To;
  /// True if the new value is in use, false if it needs a restart.
  bool Applied = false;
};

/// The settings of one process, read from its settings file.
class Settings {
public:
  /// Reads and validates a JSON file. Throws Error(BadSettings) that lists
  /// every error with the file, the path of the key and the remedy.
  static Settings load(const std::string &file);
  /// Validates JSON text; the file name is used in messages only.
  static Settings parse(const std::string &text, const std::string &file);

  template <class T> T get(const Setting<T> &s) const {
    return std::get<T>(valueOf(s.key()));
  }

  Milliseconds milliseconds(const Setting<int64_t> &s) const {
    return Milliseconds(get(s));
  }

  /// Applies the reloadable values that differ in a newer version of the file.
  /// Returns all differences, applied or not.
  std::vector<Change> applyReloadable(const Settings &newer);

private:
  const Value &valueOf(const std::string &key) const;

  std::map<std::string, Value> Values;
};

/// Returns a Markdown table of all settings.
std::string describeAll();

} // namespace sardineford::settings
