#include "Node/SettingsFile.h"

#include "Sardineford/Common/Log.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace sardineford::node {

namespace {

/// New settings must be applied within seconds, as new configurations are.
constexpr Milliseconds FilePollInterval{1'000};

} // namespace

SettingsFile::SettingsFile(std::string path)
    : Path(std::move(path)), Values(settings::Settings::load(Path)),
      LoadedVersion(currentVersion()) {}

std::optional<SettingsFile::Version> SettingsFile::currentVersion() const {
  std::error_code ec;
  Version out;
  out.ModifiedAt = std::filesystem::last_write_time(Path, ec);
  if (!ec)
    out.Size = std::filesystem::file_size(Path, ec);
  if (ec)
    return std::nullopt;
  return out;
}

void SettingsFile::watch(IoContext &io) {
  spawn(io, "settings-signal", [this, &io] { return reloadOnSignal(io); });
  spawn(io, "settings-change", [this] { return reloadOnChange(); });
}

void SettingsFile::reload(std::string_view reason) {
  LoadedVersion = currentVersion();
  std::vector<settings::Change> changes;
  try {
    changes = Values.applyReloadable(settings::Settings::load(Path));
  } catch (const Error &e) {
    log::event(log::Category::Common, log::Level::Error, "reload",
               {{"why", reason},
                {"outcome", "previous settings kept"},
                {"error", e.what()},
                {"remedy", e.Remedy}});
    return;
  }
  if (changes.empty())
    log::event(log::Category::Common, log::Level::Info, "reload",
               {{"why", reason}, {"outcome", "no differences"}});
  bool applied = false;
  for (const settings::Change &it : changes) {
    applied = applied || it.Applied;
    log::event(log::Category::Common, log::Level::Info, "reload",
               {{"why", reason},
                {"key", it.Key},
                {"from", it.From},
                {"to", it.To},
                {"outcome", it.Applied ? "in force" : "needs a restart"}});
  }
  if (!applied)
    return;
  for (const auto &it : Listeners)
    it();
}

Awaitable<void> SettingsFile::reloadOnSignal(IoContext &io) {
  boost::asio::signal_set signals(io, SIGHUP);
  for (;;) {
    co_await signals.async_wait(boost::asio::use_awaitable);
    reload("signal");
  }
}

Awaitable<void> SettingsFile::reloadOnChange() {
  for (;;) {
    co_await sleepFor(FilePollInterval);
    std::optional<Version> now = currentVersion();
    // A missing file is being replaced; a later poll reads the new file.
    if (now && now != LoadedVersion)
      reload("file changed");
  }
}

} // namespace sardineford::node
