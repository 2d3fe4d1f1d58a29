#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sardineford::gateway {

/// Outcome of one attempt of a request at one backend server.
enum class AttemptOutcome {
  /// No byte was written to a socket.
  NeverSent,
  /// The server reported that it did not execute the request.
  NotExecuted,
  /// Bytes were sent, but no complete response arrived: the server may have
  /// executed the request.
  Unknown,
  /// The server sent a complete response.
  Answered,
};

std::string_view toString(AttemptOutcome o);

struct Attempt {
  std::string Server;
  AttemptOutcome Outcome = AttemptOutcome::NeverSent;
};

/// All attempts of one caller request. The status of an error response depends
/// only on these attempts and the failure cause.
class AttemptRecord {
public:
  /// Adds an attempt and returns its index. The outcome is Unknown until it is
  /// set.
  size_t add(std::string server);
  void setOutcome(size_t attempt, AttemptOutcome outcome);

  /// Returns whether no backend server has executed the request or can still
  /// execute it.
  bool noneExecuted() const;
  /// Returns the number of attempts that reached a server or may have reached
  /// one.
  size_t sentCount() const;
  /// Returns the number of attempts of which no byte was sent.
  size_t unsentCount() const { return Attempts.size() - sentCount(); }
  /// Records a separate prefill, which is no attempt. Returns whether it counts
  /// against the limit on further attempts.
  bool recordPrefill(AttemptOutcome outcome);
  /// Returns the number of calls that may have reached a server. The first
  /// prefill that was executed does not count. Each call beyond the first one
  /// counts against the limit on further attempts.
  size_t countedCalls() const { return sentCount() + CountedPrefills; }
  const std::vector<Attempt> &all() const { return Attempts; }

private:
  std::vector<Attempt> Attempts;
  size_t CountedPrefills = 0;
  bool IsPrefilled = false;
};

/// Reason for a failed request.
enum class FailureCause {
  /// No known server can serve the request.
  NoServer,
  /// No known server can start the request in time.
  Overloaded,
  /// The attempts failed or were rejected by the servers.
  Failed,
  /// The deadline of the request has passed.
  TimedOut,
  /// It is not known which software version began the stream, or no server has
  /// it.
  VersionUnknown,
  /// Requests like this one have crashed several servers.
  Blocked,
};

std::string_view toString(FailureCause c);

/// Returns the status of the error response for a failed request: 503 only if
/// no server executed the request, else 502 or 504.
unsigned finalStatus(const AttemptRecord &record, FailureCause cause);

} // namespace sardineford::gateway
