#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Settings/Settings.h"

#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sardineford::node {

/// The settings of one process and the file that holds them. The file is
/// reloaded on SIGHUP and when it has changed. An invalid file leaves the
/// settings unchanged.
class SettingsFile {
public:
  /// Reads the file. Throws Error(BadSettings).
  explicit SettingsFile(std::string path);

  const settings::Settings &values() const { return Values; }
  /// Adds a listener that is called after a reload has applied values.
  void onChange(std::function<void()> f) { Listeners.push_back(std::move(f)); }
  /// Starts to reload the file on SIGHUP and on changes.
  void watch(IoContext &io);
  /// Reloads the file and logs the differences, together with the reason.
  void reload(std::string_view reason);

private:
  /// Identifies a version of the file by its metadata.
  struct Version {
    std::filesystem::file_time_type ModifiedAt;
    uintmax_t Size = 0;

    bool operator==(const Version &) const = default;
  };

  std::optional<Version> currentVersion() const;
  Awaitable<void> reloadOnSignal(IoContext &io);
  Awaitable<void> reloadOnChange();

  std::string Path;
  settings::Settings Values;
  std::optional<Version> LoadedVersion;
  std::vector<std::function<void()>> Listeners;
};

} // namespace sardineford::node
