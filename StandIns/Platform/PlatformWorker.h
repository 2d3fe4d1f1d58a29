#pragma once

#include "Sardineford/Http/Client.h"
#include "Sardineford/Http/Server.h"
#include "StandIns/Engine/Batch.h"

#include <fstream>
#include <map>
#include <string>

namespace sardineford::standins {

struct PlatformWorkerOptions {
  std::string Id;
  std::string Service;
  std::string FailureDomain = "a";
  http::Endpoint Listen;
  /// Address that callers are told; a relay's, say.
  http::Endpoint Advertise;
  http::Endpoint Store;
  /// Empty for a plain service.
  std::string Stage;
  unsigned Slots = 8;
  Milliseconds Heartbeat{300};
  /// Time that it goes on serving after it said that it leaves.
  Milliseconds DrainTime{1'500};
  /// Time of a plain call, and of one step of an engine.
  Milliseconds WorkTime{10};
  Milliseconds StepTime{4};
  /// File that a line is appended to for each run.
  std::string History;
};

/// Event of an answer, and the body of a plain one: what a caller must get.
std::string expectedEvent(const std::string &requestId, uint64_t event);
std::string expectedBody(const std::string &requestId);
/// Number of events of an answer.
uint64_t expectedEvents(const std::string &requestId);

/// Stand-in for a backend server of the platform, by its published protocol:
/// a plain service, or an engine of one phase on the batch model.
class PlatformWorker {
public:
  PlatformWorker(IoContext &io, PlatformWorkerOptions options);

  void start();
  /// Says that it leaves, serves for the drain time, and ends.
  Awaitable<void> drainAndStop();

private:
  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);
  Awaitable<void> runPlain(const std::string &id, http::ResponseWriter &out);
  Awaitable<void> runStream(const http::Request &request, const std::string &id,
                            http::ResponseWriter &out);
  Awaitable<void> prefill(const http::Request &request, const std::string &id,
                          http::ResponseWriter &out);
  Awaitable<void> heartbeat();
  Awaitable<void> writeEntry();
  SequencePtr makeSequence(const http::Request &request,
                           const std::string &id) const;
  http::Response answer(unsigned status, const std::string &id,
                        std::string body) const;
  void note(const std::string &id, const char *what);

  IoContext &Io;
  PlatformWorkerOptions Options;
  http::Client Client;
  http::Server Listener;
  Batch Work;
  std::ofstream Log;
  int64_t Born;
  bool Draining = false;
  uint64_t Attempts = 0;
  /// Prefilled prompts by handle: the request's id.
  std::map<std::string, std::string> Handles;
};

} // namespace sardineford::standins
