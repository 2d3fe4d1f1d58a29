#pragma once

#include "Load/Caller.h"
#include "Sardineford/Store/HttpObjectStore.h"
#include "Sardineford/Timeline/Recorder.h"
#include "StandIns/Deployment/Deployment.h"

#include <atomic>
#include <map>
#include <random>
#include <string>
#include <thread>

namespace sardineford::standins {

struct WorkloadOptions {
  uint64_t Seed = 1;
  std::string Model;
  std::string Workspace;
  std::string Pool;
  std::string Service;
  /// Path of the call that must not repeat, such as "/filings".
  std::string OncePath;
  int Readers = 6;
  int Filers = 4;
  int Operators = 2;
  Milliseconds Deadline{10'000};
};

/// Counts of what the workload did.
struct WorkloadCounts {
  uint64_t Answers = 0;
  uint64_t Whole = 0;
  uint64_t Refused = 0;
  uint64_t Late = 0;
  uint64_t Resumes = 0;
  uint64_t Filings = 0;
  uint64_t FiledOnce = 0;
  uint64_t FiledUnknown = 0;
  uint64_t Edits = 0;
  uint64_t Conflicts = 0;
};

/// Concurrent callers and operators that write a history. Runs on a thread of
/// its own until it is stopped.
class Workload {
public:
  Workload(const Deployment &d, WorkloadOptions options);
  ~Workload();

  void start();
  /// Lets what is open end, then checks that the accepted edits are in force.
  WorkloadCounts stop();

private:
  Awaitable<void> reader(int number);
  Awaitable<void> readOnce(std::string id);
  Awaitable<void> filer(int number);
  Awaitable<void> fileOnce(std::string key);
  Awaitable<load::CallResult> sendFiling(http::Endpoint entry, std::string key,
                                         std::string id);
  Awaitable<void> operatorLoop(int number);
  Awaitable<void> editOnce();
  Awaitable<void> checkEdits();
  size_t pickEntry();
  void record(timeline::Event e) { Recorder.record(std::move(e)); }

  WorkloadOptions Options;
  std::vector<std::string> EntryNames;
  std::vector<http::Endpoint> EntryAddresses;
  std::vector<std::string> Engines;
  IoContext Io;
  http::Client Client;
  store::HttpObjectStore Store;
  timeline::Recorder Recorder;
  std::mt19937_64 Random;
  std::atomic<bool> Stopping{false};
  /// Version of the newest accepted edit of each object, by kind and name.
  std::map<std::string, uint64_t> Accepted;
  WorkloadCounts Counts;
  std::thread Thread;
};

} // namespace sardineford::standins
