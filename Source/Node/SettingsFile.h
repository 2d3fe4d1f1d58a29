#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Settings/Settings.h"

#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sardineford::node {

/// The settings of one process and the file they come from. The file is read
/// again at SIGHUP and when it has changed; a file with faults changes nothing.
class SettingsFile {
public:
  /// Reads the file. Throws Error(BadSettings).
  explicit SettingsFile(std::string path);

  const settings::Settings &values() const { return Values; }
  /// Called after values were taken over.
  void onChange(std::function<void()> f) { Listeners.push_back(std::move(f)); }
  /// Follows the file for as long as the process runs.
  void follow(IoContext &io);
  /// Reads the file again and logs what differs; why is logged with it.
  void reread(std::string_view why);

private:
  /// What tells two versions of the file apart without reading it.
  struct Stamp {
    std::filesystem::file_time_type Written;
    uintmax_t Size = 0;

    bool operator==(const Stamp &) const = default;
  };

  std::optional<Stamp> stamp() const;
  Awaitable<void> rereadOnSignal(IoContext &io);
  Awaitable<void> rereadOnChange();

  std::string Path;
  settings::Settings Values;
  std::optional<Stamp> Read;
  std::vector<std::function<void()>> Listeners;
};

} // namespace sardineford::node
