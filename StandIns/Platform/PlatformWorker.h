#pragma once

#include "Sardineford/Http/Client.h"
#include "Sardineford/Http/Server.h"
#include "StandIns/Engine/Batch.h"

#include <array>
#include <fstream>
#include <map>
#include <string>
#include <string_view>

namespace sardineford::standins {

/// Header of a request that takes a stream up again: id of the request that
/// brought the first event of the stream.
inline constexpr std::string_view ResumesHeader = "Resumes";

/// Software versions of the stand-ins. The events of two versions differ.
inline constexpr std::array<const char *, 4> SoftwareVersions = {"v1", "v1.1",
                                                                 "v2", "v2.1"};

/// Limit of requests that a backend server names in its responses for a while.
struct NamedLimit {
  /// Requests a second; negative to name none.
  double PerSecond = -1;
  /// Time from the start of the server, and how long.
  Milliseconds From{0};
  Milliseconds Length{0};
};

/// Rejections with a time for which the server wants no further request.
struct PushBack {
  /// Value of Retry-After; empty to reject nothing.
  std::string RetryAfter;
  /// Time from the start of the server, and how long.
  Milliseconds From{0};
  Milliseconds Length{0};
};

/// Which requests and health checks the server rejects as if it were full.
struct Shedding {
  /// Rejects each n-th one; 0 to reject none.
  unsigned Every = 0;
  /// The rejections have the ids of their requests.
  bool HasId = true;
};

struct PlatformWorkerOptions {
  std::string Id;
  std::string Service;
  std::string FailureDomain = "a";
  http::Endpoint Listen;
  /// Address in the server's entry in the store; a relay can listen on it.
  http::Endpoint Advertise;
  http::Endpoint Store;
  /// Empty for a plain service.
  std::string Stage;
  std::string Version = SoftwareVersions[0];
  unsigned Slots = 8;
  /// Value of the load header in each response; empty for none.
  std::string LoadHeader;
  Milliseconds Heartbeat{300};
  /// Time for which the draining server continues to accept requests.
  Milliseconds DrainTime{1'500};
  /// Processing time of a request at a plain service.
  Milliseconds WorkTime{10};
  /// Time of one batch step of an engine, without its sequences.
  Milliseconds StepTime{4};
  /// Id of a prompt part, as in the header of requests, that ends the process
  /// soon after it has begun to answer; empty for none.
  std::string CrashingPart;
  /// Path of requests, repeats of one, that end the process soon after it has
  /// begun to execute them, before it answers; empty for none.
  std::string CrashingPath;
  NamedLimit Limit;
  /// Time from the start of the server in which it writes no heartbeats, and
  /// how long.
  Milliseconds NoHeartbeatFrom{0};
  Milliseconds NoHeartbeatLength{0};
  /// Time from the start of the server after which its responses, and not its
  /// entry in the store, say that it leaves; negative for never.
  Milliseconds LeavesAfter{-1};
  PushBack Rejects;
  Shedding Sheds;
  /// File to which a line is appended for each event.
  std::string History;
};

/// Expected event of a stream. The id of the stream is the id of the request
/// that brought its first event.
std::string expectedEvent(const std::string &streamId, uint64_t event,
                          const std::string &version);
/// Expected body of a response of a plain service.
std::string expectedBody(const std::string &requestId);
/// Expected number of events of a stream, the same in all versions.
uint64_t expectedEvents(const std::string &streamId);

/// Stand-in for a backend server that implements the platform's published
/// protocol: a plain service, or a prefill or decode engine that simulates
/// batching.
class PlatformWorker {
public:
  PlatformWorker(IoContext &io, PlatformWorkerOptions options);

  void start();
  /// Publishes the draining state, serves for the drain time and until no
  /// request is open, and then stops the event loop.
  Awaitable<void> drainAndStop();

private:
  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);
  Awaitable<void> serveRequest(const std::string &id,
                               http::ResponseWriter &out);
  Awaitable<void> serveStream(const http::Request &request,
                              const std::string &id, http::ResponseWriter &out);
  Awaitable<void> prefill(const http::Request &request, const std::string &id,
                          http::ResponseWriter &out);
  Awaitable<void> heartbeat();
  Awaitable<void> writeEntry();
  /// Ends the process soon if the request has the crashing path.
  Awaitable<void> crashOnPath(const http::Request &request,
                              const std::string &id);
  /// Ends the process after a while if the prompt has the crashing part.
  void crashIfPromptCrashes(const http::Request &request,
                            const std::string &id);
  SequencePtr makeSequence(const http::Request &request, const std::string &id,
                           const std::string &streamId) const;
  http::Response makeResponse(unsigned status, const std::string &id,
                              std::string body) const;
  http::Response makeRejection(const std::string &id) const;
  /// Returns whether the next request is rejected.
  bool shedsNext();
  bool isWithin(Milliseconds from, Milliseconds length) const;
  void recordEvent(const std::string &id, const char *action);

  IoContext &Io;
  PlatformWorkerOptions Options;
  http::Client Client;
  http::Server Listener;
  Batch ActiveBatch;
  std::ofstream HistoryFile;
  int64_t StartedAtMs;
  MonoTime StartedAt = MonoClock::now();
  bool Draining = false;
  uint64_t AttemptCount = 0;
  uint64_t ArrivalCount = 0;
  /// Request ids of prefilled prompts, by KV handle.
  std::map<std::string, std::string> KvHandles;
};

} // namespace sardineford::standins
