#include "Case.hh"

#include "Sardineford/Common/Log.h"
#include "StandIns/Deployment/Deployment.h"
#include "platform/Names.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {

namespace json = boost::json;
namespace names = platform::names;

namespace {

constexpr Milliseconds StartTime{20'000};
/// A case that takes longer could not run.
constexpr std::chrono::seconds MaxTime{100};

PlatformDeploymentOptions withFolders(PlatformDeploymentOptions o,
                                      const std::string &folder) {
  o.Programs = "target/review/bin";
  o.Folder = folder;
  return o;
}

} // namespace

Case::Case(int argc, char **argv, PlatformDeploymentOptions options)
    : Folder(makeTemporaryFolder()),
      Deployment(Io, withFolders(std::move(options), Folder)),
      RecordFile(argc > 1 ? argv[1] : "/dev/null") {
  const char *trouble = std::getenv("TROUBLE");
  Trouble = !trouble || std::string(trouble) != "0";
  log::start({.DefaultLevel = log::Level::Warning, .Process = "case"});
}

Case::~Case() {
  std::error_code ec;
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(Folder, ec);
}

void Case::record(const std::string &line) {
  auto ms = toMilliseconds(MonoClock::now() - StartedAt).count();
  RecordFile << fmt::format("{:>7} ms  {}\n", ms, line) << std::flush;
}

int Case::run(std::function<Awaitable<Verdict>()> body) {
  Verdict verdict = Verdict::CouldNotRun;
  record(Trouble ? "with the disruption" : "without the disruption");
  spawn(Io, "case", [&]() -> Awaitable<void> {
    bool ready = co_await Deployment.bringUp(StartTime);
    record(ready ? "all daemons are ready" : "a daemon is not ready");
    if (ready)
      verdict = co_await body();
    Io.stop();
  });
  boost::asio::steady_timer end(Io, MaxTime);
  end.async_wait([this](auto) { Io.stop(); });
  boost::asio::signal_set signals(Io, SIGINT, SIGTERM);
  signals.async_wait([this](auto, int) { Io.stop(); });
  Io.run();
  const char *const texts[] = {"held", "BROKEN", "could not run"};
  std::string text = texts[static_cast<int>(verdict)];
  record("the rule: " + text);
  std::cout << "the rule: " << text << "\n";
  return static_cast<int>(verdict);
}

http::Endpoint Case::storeOf(size_t daemon) const {
  std::ifstream in(Folder + "/node-" + std::to_string(daemon) + ".json");
  std::ostringstream text;
  text << in.rdbuf();
  json::value settings = json::parse(text.str());
  return http::parseEndpoint(json::value_to<std::string>(
      settings.at("platform").at("endpoint")));
}

Awaitable<MonoTime> Case::writeConfiguration(uint64_t version,
                                             json::array routes,
                                             json::array services) {
  json::object spec = {{"version", version},
                       {"routes", std::move(routes)},
                       {"services", std::move(services)},
                       {"limits", {{"idleTimeoutMs", 15'000}}}};
  json::object meta = {{"name", std::string(names::ConfigName)}};
  http::Request r;
  r.Method = "PUT";
  r.Target = std::string(names::ObjectsPath) + std::string(names::ConfigKind) +
             "/" + std::string(names::ConfigName);
  r.Body = json::serialize(json::object{{"metadata", meta}, {"spec", spec}});
  http::Response response = co_await Client.call(storeOf(0), r);
  record(fmt::format("the store acknowledges version {} with status {}",
                     version, response.Status));
  if (response.Status != 200)
    throw std::runtime_error("the configuration was not written");
  co_return MonoClock::now();
}

} // namespace review
