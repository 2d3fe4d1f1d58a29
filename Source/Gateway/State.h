#pragma once

#include "Fleet/FleetWatch.h"
#include "Sardineford/Admission/SizeFairness.h"
#include "Sardineford/Fleet/Directory.h"
#include "Sardineford/Gateway/AttemptRecord.h"
#include "Sardineford/Gateway/BackendProtocol.h"
#include "Sardineford/Http/Client.h"
#include "Sardineford/Http/Server.h"
#include "Sardineford/Metrics/Metrics.h"
#include "Sardineford/Retry/WindowBudget.h"
#include "Sardineford/Routing/Placement.h"

#include <map>
#include <random>

namespace sardineford::gateway {

/// What was learned of one service, and what may still be spent on it.
struct ServiceState {
  explicit ServiceState(retry::BudgetBounds bounds)
      : RetryBudget(bounds, MonoClock::now()),
        SpeedModels(routing::startingSpeeds()) {}

  retry::WindowBudget RetryBudget;
  routing::EngineSpeedModels SpeedModels;
  /// Mean time to a plain answer, late ones count more.
  Seconds MeanResponseTime{0.1};
  /// Mean time from the first event of a stream to its last.
  Seconds MeanStreamDuration{1.0};
};

/// What the calls of one process share.
struct SharedState {
  IoContext &Io;
  http::Client &Client;
  const BackendProtocol &Protocol;
  fleet::Directory &Servers;
  const fleet::FleetWatch &Watch;
  metrics::Metrics &Metrics;
  std::mt19937_64 &Random;
  std::string FailureDomain;
  retry::BudgetBounds RetryBounds;
  unsigned Processes = 1;
  /// Tells the other processes of a prompt part that a server has cached.
  std::function<void(const std::string &server, uint64_t part, uint64_t tokens)>
      PublishCachedPart;
  std::map<std::string, ServiceState> Services;
  /// By route.
  std::map<std::string, admission::SizeFairness> Fairness;

  ServiceState &service(const std::string &name);
  void setRetryBounds(retry::BudgetBounds bounds);
};

/// One request of a caller on its way.
struct RequestContext {
  CallerRequest Request;
  /// Keeps the configuration alive in which the route was found.
  std::shared_ptr<const fleet::RouteTable> Routes;
  const fleet::Route *Route = nullptr;
  std::string Service;
  MonoTime Arrived;
  MonoTime Deadline;
  http::ResponseWriter &Out;
  AttemptRecord Attempts;
  /// Closes the connection that is in use when the caller leaves.
  std::shared_ptr<http::CallGuard> Guard;
  bool CallerGone = false;
  /// For the log: how the request ended.
  unsigned Status = 0;
  std::string Outcome;
  /// Why no further attempt was made, where one was thought of.
  std::string_view NoRetryReason;
  Milliseconds TimeToFirstByte{-1};
  uint64_t EventCount = 0;

  Milliseconds remainingTime() const {
    return toMilliseconds(Deadline - MonoClock::now());
  }
  Milliseconds elapsed() const {
    return toMilliseconds(MonoClock::now() - Arrived);
  }
};

/// Counts a request at a backend server as in flight while it exists.
class Reservation {
public:
  Reservation(fleet::ServerPtr server, fleet::WorkRank priority,
              double promptTokens);
  ~Reservation();
  Reservation(const Reservation &) = delete;
  Reservation &operator=(const Reservation &) = delete;

  /// The prompt is prefilled.
  void releasePromptTokens();

private:
  fleet::ServerPtr Server;
  fleet::WorkRank Priority;
  double PromptTokens;
};

/// Options of an HTTP call that count every send.
http::CallOptions attemptCallOptions(RequestContext &c, bool fresh,
                                     Milliseconds timeout);

/// Whether another backend server may be tried after the sends so far. Takes
/// from the budget when it says yes.
bool acquireRetry(SharedState &s, RequestContext &c);

/// Judges an answer's head before it is used. Empty when it is sound, else
/// what is wrong with it.
std::string validateResponse(const ResponseHead &head, const http::Response &r,
                             const std::string &requestId);

/// Notes a server that turned a request away, and where to look for why.
void recordRejection(SharedState &s, const fleet::ServerPtr &server,
                     const ResponseHead &head);

/// Notes a server that could not be reached or broke off.
void recordTransportFault(const RequestContext &c, fleet::Server &server,
                          const http::TransportError &e);

/// Attempts the final failure to a caller that has got nothing yet.
Awaitable<void> failRequest(SharedState &s, RequestContext &c,
                            FailureCause cause, std::string detail,
                            std::optional<Milliseconds> retryAfter);

/// What the line of one attempt tells.
struct AttemptLogEntry {
  std::string_view Step;
  AttemptOutcome Outcome = AttemptOutcome::Unknown;
  Seconds Estimate{0};
  /// Longest time that it was given.
  Milliseconds Timeout{0};
  Milliseconds Duration{0};
  std::string_view Detail;
};

void logAttempt(const RequestContext &c, const fleet::Server &server,
                const AttemptLogEntry &entry);

Awaitable<void> servePlain(SharedState &s, RequestContext &c);
Awaitable<void> serveStream(SharedState &s, RequestContext &c);

} // namespace sardineford::gateway
