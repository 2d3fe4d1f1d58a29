#pragma once

#include "StandIns/Platform/PlatformDeployment.h"

#include <fstream>

namespace review {

using namespace sardineford;
using namespace sardineford::standins;

/// Result of a case; the exit status of its script.
enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// One case: a small deployment of processes, a disruption and a check. The
/// program takes the path of the record and reads TROUBLE.
class Case {
public:
  Case(int argc, char **argv, PlatformDeploymentOptions options);
  ~Case();

  /// Starts the deployment, runs the body and stops all processes.
  int run(std::function<Awaitable<Verdict>()> body);

  /// Writes a line to the record, with the time since the start.
  void record(const std::string &line);
  /// Address of the store, by the link of the daemon.
  http::Endpoint storeOf(size_t daemon) const;
  /// Replaces the routes and the services. Returns the time at which the store
  /// acknowledged the version.
  Awaitable<MonoTime> writeConfiguration(uint64_t version,
                                         boost::json::array routes,
                                         boost::json::array services);

  /// False if the disruption is left out.
  bool Trouble = true;
  IoContext Io{1};
  std::string Folder;
  PlatformDeployment Deployment;
  http::Client Client{Io};

private:
  std::ofstream RecordFile;
  MonoTime StartedAt = MonoClock::now();
};

} // namespace review
