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
  /// Path of the requests that must run at most once, such as "/filings".
  std::string OncePath;
  /// Number of concurrent callers of streamed completions.
  int CompletionCallers = 6;
  /// Number of concurrent callers of requests that must run at most once.
  int OnceCallers = 4;
  /// Number of concurrent editors of the configuration.
  int Operators = 2;
  Milliseconds Deadline{10'000};
};

/// Counts of the requests and edits of a workload.
struct WorkloadCounts {
  uint64_t Completions = 0;
  uint64_t Complete = 0;
  uint64_t Rejected = 0;
  /// Completions that delivered tokens, but not all of them by the deadline.
  uint64_t Late = 0;
  uint64_t Resumes = 0;
  uint64_t OnceRequests = 0;
  uint64_t OnceExecuted = 0;
  uint64_t OnceUnknown = 0;
  uint64_t Edits = 0;
  uint64_t Conflicts = 0;
};

/// Concurrent callers and operators that record a history. Runs on its own
/// thread until it is stopped.
class Workload {
public:
  Workload(const Deployment &d, WorkloadOptions options);
  ~Workload();

  void start();
  /// Waits for the open requests, then records whether the newest generation
  /// contains the accepted edits.
  WorkloadCounts stop();

private:
  Awaitable<void> completionLoop(int number);
  Awaitable<void> requestCompletion(std::string id);
  Awaitable<void> onceLoop(int number);
  Awaitable<void> requestOnce(std::string key);
  Awaitable<load::CallResult> sendOnceRequest(http::Endpoint entry,
                                              std::string key, std::string id);
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
  std::map<std::string, uint64_t> AcceptedVersions;
  WorkloadCounts Counts;
  std::thread Thread;
};

} // namespace sardineford::standins
