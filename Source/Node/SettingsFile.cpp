#include "Node/SettingsFile.h"

#include "Sardineford/Common/Log.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace sardineford::node {

namespace {

/// Time between two looks at the file. New settings are to be in force within
/// seconds, as configurations are.
constexpr Milliseconds LookInterval{1'000};

} // namespace

SettingsFile::SettingsFile(std::string path)
    : Path(std::move(path)), Values(settings::Settings::load(Path)),
      Read(stamp()) {}

std::optional<SettingsFile::Stamp> SettingsFile::stamp() const {
  std::error_code ec;
  Stamp out;
  out.Written = std::filesystem::last_write_time(Path, ec);
  if (!ec)
    out.Size = std::filesystem::file_size(Path, ec);
  if (ec)
    return std::nullopt;
  return out;
}

void SettingsFile::follow(IoContext &io) {
  spawn(io, "settings-signal", [this, &io] { return rereadOnSignal(io); });
  spawn(io, "settings-change", [this] { return rereadOnChange(); });
}

void SettingsFile::reread(std::string_view why) {
  Read = stamp();
  std::vector<settings::Change> changes;
  try {
    changes = Values.applyReloadable(settings::Settings::load(Path));
  } catch (const Error &e) {
    log::event(log::Category::Common, log::Level::Error, "reload",
               {{"why", why},
                {"outcome", "the former settings stay"},
                {"error", e.what()},
                {"remedy", e.Remedy}});
    return;
  }
  if (changes.empty())
    log::event(log::Category::Common, log::Level::Info, "reload",
               {{"why", why}, {"outcome", "nothing differs"}});
  bool taken = false;
  for (const settings::Change &it : changes) {
    taken = taken || it.Applied;
    log::event(log::Category::Common, log::Level::Info, "reload",
               {{"why", why},
                {"key", it.Key},
                {"from", it.From},
                {"to", it.To},
                {"outcome", it.Applied ? "in force" : "needs a restart"}});
  }
  if (!taken)
    return;
  for (const auto &it : Listeners)
    it();
}

Awaitable<void> SettingsFile::rereadOnSignal(IoContext &io) {
  boost::asio::signal_set signals(io, SIGHUP);
  for (;;) {
    co_await signals.async_wait(boost::asio::use_awaitable);
    reread("signal");
  }
}

Awaitable<void> SettingsFile::rereadOnChange() {
  for (;;) {
    co_await sleepFor(LookInterval);
    std::optional<Stamp> now = stamp();
    // A file that is missing is being replaced.
    if (now && now != Read)
      reread("changed file");
  }
}

} // namespace sardineford::node
