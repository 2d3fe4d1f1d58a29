#pragma once

#include "Duties/OrderPlan.h"
#include "Fleet/FleetWatch.h"
#include "Fleet/VersionRecorder.h"
#include "Peers/Findings.h"
#include "Peers/LoadTracking.h"
#include "Peers/StreamOrigins.h"
#include "Sardineford/Admission/SizeFairness.h"
#include "Sardineford/Fleet/Directory.h"
#include "Sardineford/Fleet/LoadAverage.h"
#include "Sardineford/Fleet/ServerUse.h"
#include "Sardineford/Gateway/AttemptRecord.h"
#include "Sardineford/Gateway/BackendProtocol.h"
#include "Sardineford/Gateway/PeerChoice.h"
#include "Sardineford/Gateway/Reach.h"
#include "Sardineford/Http/Client.h"
#include "Sardineford/Http/Server.h"
#include "Sardineford/Metrics/Metrics.h"
#include "Sardineford/Retry/WindowBudget.h"
#include "Sardineford/Routing/Placement.h"

#include <map>
#include <random>
#include <set>

namespace sardineford::gateway {

/// Retry budget and observed durations of one service.
struct ServiceState {
  ServiceState(retry::BudgetBounds bounds, MonoTime processStart)
      : RetryBudget(bounds, processStart),
        SpeedModels(routing::initialSpeedModels()) {}

  retry::WindowBudget RetryBudget;
  routing::EngineSpeedModels SpeedModels;
  /// Exponential moving average of the time to a response that is not a stream.
  Seconds MeanResponseTime{0.1};
  /// Exponential moving average of the time from the first event of a stream to
  /// its last.
  Seconds MeanStreamDuration{1.0};
  /// Time of the last separate prefill that was not executed.
  std::optional<MonoTime> PrefillFailedAt;
  ServiceReach Reach;
  duties::WorkDone Done;
  /// A server of the service has reported how long work takes.
  bool ReportsTimeRatio = false;
  /// Loads that the servers report, by their ids.
  std::map<std::string, fleet::LoadAverage> Loads;
};

/// Observed values of one route.
struct RouteState {
  admission::SizeFairness Fairness;
  /// Exponential moving average of the time from the first event of a stream to
  /// its last; 0 before the first stream.
  Seconds MeanStreamDuration{0};
};

/// A server at which answers broke that had just begun.
struct BrokenServer {
  /// Time of the first broken answer.
  MonoTime At{};
  /// What these answers make suspects of the crash.
  std::set<fleet::SuspectKey> Suspects;
  /// The server is known to have crashed.
  bool Crashed = false;
};

/// State that all requests of the process share.
struct SharedState {
  IoContext &Io;
  http::Client &Client;
  const BackendProtocol &Protocol;
  fleet::Directory &Servers;
  fleet::FleetWatch &Watch;
  const fleet::VersionRecorder &Versions;
  metrics::Metrics &Metrics;
  std::mt19937_64 &Random;
  std::string FailureDomain;
  retry::BudgetBounds RetryBounds;
  MonoTime StartedAt;
  /// Number of processes that may exist; 0 while it is not known.
  unsigned Processes = 0;
  /// No process has run on this instance before.
  bool IsFirstStart = false;
  /// Reports to the peers that a server has cached a prompt part.
  std::function<void(const std::string &server, uint64_t part, uint64_t tokens)>
      PublishCachedPart;
  std::map<std::string, ServiceState> Services;
  /// Keyed by the name of the route.
  std::map<std::string, RouteState> RouteStates;
  /// Work of the other processes, in a fleet that uses trackers.
  peers::LoadTracking &Tracking;
  /// Versions that began the streams of all processes.
  peers::StreamOrigins &Origins;
  /// What backend servers have shown to all processes.
  peers::Findings &Findings;
  /// Keyed by hashOfIncarnation.
  std::map<uint32_t, BrokenServer> BrokenServers = {};
  /// Addresses of the other processes that run.
  std::function<std::vector<http::Endpoint>()> RunningPeers = {};
  PeerChoice PeersToAsk = {};
  /// Value of the setting `gateway.server_pace`.
  bool PacesServers = false;
  /// Counts a request of a workspace that a server has begun to execute; empty
  /// without usage reports.
  std::function<void(const std::string &workspace)> CountUsage = {};
  /// Rank of this process among the running ones, if it is known.
  std::optional<unsigned> Rank = {};

  ServiceState &service(const std::string &name);
  void setRetryBounds(retry::BudgetBounds bounds);
};

/// A server may close a keep-alive connection that was idle for longer.
inline constexpr Milliseconds MaxConnectionIdle{1'500};

/// State of one caller request.
struct RequestContext {
  CallerRequest Request;
  /// Keeps the configuration of `Route` alive.
  std::shared_ptr<const fleet::RouteTable> Routes;
  const fleet::Route *Route = nullptr;
  std::string Service;
  /// Workspace of the caller; nullptr on anonymous routes, and where the
  /// configuration has no workspaces. `Routes` keeps it alive.
  const fleet::Workspace *Workspace = nullptr;
  MonoTime Arrived;
  MonoTime Deadline;
  http::ResponseWriter &Out;
  AttemptRecord Attempts;
  /// hashOfRepeats of the request.
  uint64_t RepeatsHash = 0;
  /// Close the connections to the backend servers if the caller disconnects.
  std::vector<std::weak_ptr<http::AbortHandle>> Guards;
  /// Addresses that the id of the request has been sent to.
  std::set<http::Endpoint> SentTo;
  bool CallerGone = false;
  /// A peer has passed the request on to this process.
  bool IsPassedOn = false;
  /// The request has been counted for the usage report.
  bool IsUsageCounted = false;
  /// Number of peers that were asked to serve the request.
  int PeersAsked = 0;
  /// Blocked suspect that the next attempt tries.
  std::optional<fleet::SuspectKey> TriedSuspect;
  /// Status and outcome for the log.
  unsigned Status = 0;
  std::string Outcome;
  /// Reason that no retry was made, for the log.
  std::string_view NoRetryReason;
  /// Servers that were passed over at the last choice and why, for the log.
  std::string PassedOver;
  /// Time until a server opens, if all that could run the request are closed.
  std::optional<Milliseconds> OpensIn;
  /// -1 until the first byte.
  Milliseconds TimeToFirstByte{-1};
  uint64_t EventCount = 0;
  /// Longest time between two events that were forwarded to the caller.
  Milliseconds LongestPause{0};

  Milliseconds remainingTime() const {
    return toMilliseconds(Deadline - MonoClock::now());
  }
  Milliseconds elapsed() const {
    return toMilliseconds(MonoClock::now() - Arrived);
  }
};

/// An attempt whose connection is open.
struct OpenAttempt {
  /// Index in the record of attempts.
  size_t Index = 0;
  std::unique_ptr<http::ResponseStream> Response;
  /// Silence from which the request is attempted elsewhere.
  Milliseconds Patience{0};
  MonoTime StartedAt{};
  MonoTime LastByteAt{};
  /// Time at which the head of the response was received.
  MonoTime RespondedAt{};
  /// The server has been silent for longer than expected.
  bool WasSilent = false;
  /// Limit that the response named, requests a second.
  std::optional<double> RequestLimit;

  Milliseconds silence() const {
    return toMilliseconds(MonoClock::now() - LastByteAt);
  }
  /// Returns the time since the head of the response; -1 without a head.
  Milliseconds responseAge() const {
    return RespondedAt == MonoTime{}
               ? Milliseconds(-1)
               : toMilliseconds(MonoClock::now() - RespondedAt);
  }
};

/// Counts a request as in flight at a backend server while the reservation
/// exists.
class Reservation {
public:
  Reservation(SharedState &shared, fleet::ServerPtr server,
              fleet::WorkPriority priority, double promptTokens);
  ~Reservation();
  Reservation(const Reservation &) = delete;
  Reservation &operator=(const Reservation &) = delete;

  /// Removes the prompt tokens from the server's queue after the prefill.
  void releasePromptTokens();

private:
  SharedState &Shared;
  fleet::ServerPtr Server;
  fleet::WorkPriority Priority;
  double PromptTokens;
  /// Prompt tokens that the server was to prefill.
  double InitialPromptTokens;
  MonoTime StartedAt;
};

/// Returns the options of the HTTP call of one attempt, and records its
/// address. The call is never resent on a stale connection, so that it sends
/// the request at most once.
http::CallOptions attemptCallOptions(RequestContext &context,
                                     const http::Endpoint &to, bool mayRepeat,
                                     Milliseconds timeout);

/// Returns why the request may not be attempted at another backend server now,
/// or an empty string if it may.
std::string_view findRetryObstacle(SharedState &shared,
                                   const RequestContext &context);

/// Outcome, and time in Retry-After, of a request for which yieldsToOthers
/// holds.
inline constexpr std::string_view YieldsToOthers =
    "capacity does not suffice, and the workspace uses more than its share";
inline constexpr Milliseconds YieldRetryAfter{1'000};

/// Decides at random whether the request is rejected in favour of workspaces
/// that use less (SizeFairness).
bool yieldsToOthers(SharedState &shared, const RequestContext &context);

/// Returns whether the request may be sent to a backend server, also for a
/// separate prefill. Withdraws a retry from the budget if a call was already
/// sent that counts.
bool acquireRetry(SharedState &shared, RequestContext &context);

/// Returns an empty string if the response may be used, else the error.
std::string validateResponse(const ResponseHead &head,
                             const http::Response &response,
                             const std::string &requestId);

/// Closes the connection of a complete response if a copy of the response could
/// be taken for that of a later request.
void settleConnection(SharedState &shared, const std::string &requestId,
                      http::ResponseStream &response);

/// Sends a call of this process to a backend server and reads the complete
/// response.
Awaitable<http::Response> callServer(SharedState &shared, http::Endpoint to,
                                     http::Request request,
                                     http::CallOptions options);

/// Records a rejection by a server. A rejection with a time says nothing
/// of the server's health. If another server responds at its address, removes
/// the server instead.
void recordRejection(SharedState &shared, const fleet::ServerPtr &server,
                     const ResponseHead &head);

/// Records a failure to connect to a server, or a broken or timed out
/// connection. `hasResponded`: the head of the response was received before.
void recordTransportFault(SharedState &shared, const RequestContext &context,
                          fleet::Server &server, const http::TransportError &e,
                          bool hasResponded);

/// Counts the request for the usage report of its workspace, once.
void countUsage(const SharedState &shared, RequestContext &context);

/// Records that a server has sent something.
void recordContact(SharedState &shared, const fleet::Server &server);

/// Returns whether the servers of several services cannot be reached: their
/// links are down, since they do not crash at the same time.
bool isCutOffFromServices(const SharedState &shared);

/// Records that a server has been silent for longer than expected. Its idle
/// connections may be dead.
void recordSilence(SharedState &shared, fleet::Server &server);

/// Fails the request: sends an error response, or aborts a response that has
/// already started.
Awaitable<void> failRequest(SharedState &shared, RequestContext &context,
                            FailureCause cause, std::string detail,
                            std::optional<Milliseconds> retryAfter);

/// Returns the services whose servers can be ordered.
std::vector<duties::OrderableService> orderableServices(SharedState &shared);

/// Values of the log entry of one attempt.
struct AttemptLogEntry {
  std::string_view Step;
  AttemptOutcome Outcome = AttemptOutcome::Unknown;
  Seconds Estimate{0};
  Milliseconds Timeout{0};
  Milliseconds Duration{0};
  std::string_view Detail;
  /// Prompt tokens to prefill or fetch, and those ahead of them when the
  /// attempt was sent.
  double Tokens = 0;
  double QueuedTokens = 0;
  /// Time without a byte from the server when the attempt ended.
  Milliseconds Silence{0};
  /// Time since the head of the response when the attempt ended; -1 without a
  /// head.
  Milliseconds ResponseAge{-1};
  /// Limit that the response named, requests a second.
  std::optional<double> RequestLimit;
};

void logAttempt(const RequestContext &context, const fleet::Server &server,
                const AttemptLogEntry &entry);

Awaitable<void> servePlain(SharedState &shared, RequestContext &context);
Awaitable<void> serveStream(SharedState &shared, RequestContext &context);

} // namespace sardineford::gateway
