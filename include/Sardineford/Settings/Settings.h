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

/// Everything known of one setting. The key is a path into the settings file,
/// such as "entry.listen".
struct Declaration {
  std::string Key;
  Value Default;
  /// Bounds of numbers; ignored for text and booleans.
  double Min = 0;
  double Max = 0;
  std::string Unit;
  std::string Help;
  /// Text that must not be empty.
  bool Required = false;
  /// A running process takes a new value over; others need a restart.
  bool Live = false;
};

/// All declared settings, in the order of their keys.
const std::map<std::string, Declaration> &declarations();

/// A declared setting of type T. Declare each once, as a constant.
template <class T> class Setting {
public:
  Setting(std::string key, T byDefault, double min, double max,
          std::string unit, std::string help);
  Setting(std::string key, T byDefault, std::string help,
          bool required = false);

  const std::string &key() const { return Key; }
  /// The same setting, of which a running process takes new values over.
  Setting whileRunning() const;

private:
  std::string Key;
};

/// A value that differs between two versions of a settings file.
struct Change {
  std::string Key;
  std::string From;
  std::string To;
  /// It was taken over; else the process must be started anew for it.
  bool Taken = false;
};

/// The values of one process, from its settings file.
class Settings {
public:
  /// Reads and checks a JSON file. Throws Error(BadSettings) that lists every
  /// fault with the file, the path of the key and the remedy.
  static Settings load(const std::string &file);
  /// Checks JSON text; the file name is used in messages only.
  static Settings parse(const std::string &text, const std::string &file);

  template <class T> T get(const Setting<T> &s) const {
    return std::get<T>(valueOf(s.key()));
  }

  Milliseconds milliseconds(const Setting<int64_t> &s) const {
    return Milliseconds(get(s));
  }

  /// Takes over those values of a newer version that a running process may
  /// change. Returns all that differ.
  std::vector<Change> adopt(const Settings &newer);

private:
  const Value &valueOf(const std::string &key) const;

  std::map<std::string, Value> Values;
};

/// Describes every setting as a Markdown table.
std::string describeAll();

} // namespace sardineford::settings
