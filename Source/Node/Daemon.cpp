#include "Node/Daemon.h"
#include "Node/NodeSettings.h"
#include "Sardineford/Common/Log.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "", "settings file (JSON)");
DEFINE_bool(check_settings, false, "validate the settings file and exit");
DEFINE_bool(print_settings, false, "print a table of all settings and exit");

namespace sardineford::node {

namespace {

/// Environment variable with the settings file, if --settings is not given.
constexpr const char *SettingsVariable = "SARDINEFORD_CONFIG";

constexpr int ExitBadSettings = 2;
constexpr int ExitFailure = 1;

uint64_t bytesPerSecond(const settings::Settings &s) {
  return static_cast<uint64_t>(s.get(LogBytesPerSecond));
}

void applyLogLevel(const settings::Settings &s) {
  if (!log::setLevel("all", s.get(LogLevel)))
    log::warn(log::Category::Common,
              "unknown log level {}; keeping the previous level, see "
              "--print_settings",
              s.get(LogLevel));
}

void startLog(const settings::Settings &s) {
  log::Options o{s.get(LogJson), log::Level::Info, s.get(Name)};
  o.BoundedStdout = s.get(LogToStdout);
  o.BytesPerSecond = bytesPerSecond(s);
  log::start(o);
  applyLogLevel(s);
}

void applyLogSettings(const settings::Settings &s) {
  applyLogLevel(s);
  log::setBytesPerSecond(bytesPerSecond(s));
}

} // namespace

int runDaemon(
    int argc, char **argv, const std::string &about,
    std::function<void(IoContext &, SettingsFile &, std::function<void()> run)>
        body) {
  gflags::SetUsageMessage(about + " Use --settings=FILE.");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_print_settings) {
    std::cout << settings::describeAll();
    return 0;
  }
  try {
    const char *fromEnvironment = std::getenv(SettingsVariable);
    std::string file = FLAGS_settings.empty() && fromEnvironment
                           ? fromEnvironment
                           : FLAGS_settings;
    SettingsFile settings(file);
    if (FLAGS_check_settings) {
      std::cout << file << ": settings are valid\n";
      return 0;
    }
    startLog(settings.values());
    std::signal(SIGPIPE, SIG_IGN);
    IoContext io(1);
    settings.onChange([&] { applyLogSettings(settings.values()); });
    settings.watch(io);
    body(io, settings, [&] { io.run(); });
    return 0;
  } catch (const Error &e) {
    std::cerr << e.what() << "\n" << e.Remedy << "\n";
    return e.Kind == ErrorKind::BadSettings ? ExitBadSettings : ExitFailure;
  } catch (const std::exception &e) {
    std::cerr << e.what() << "\n";
    return ExitFailure;
  }
}

} // namespace sardineford::node
