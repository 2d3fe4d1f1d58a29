#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sardineford::gateway {

/// How one send of a request to a backend server ended.
enum class AttemptOutcome {
  /// No byte was given to a socket.
  NeverSent,
  /// The server said that it did not run the request.
  NotExecuted,
  /// Bytes were sent and no whole answer came: it may have run.
  Unknown,
  /// The server answered.
  Answered,
};

std::string_view toString(AttemptOutcome o);

struct Attempt {
  std::string Server;
  AttemptOutcome Outcome = AttemptOutcome::NeverSent;
};

/// Everything that was done for one request of a caller. What the caller is
/// told follows from it alone.
class AttemptRecord {
public:
  /// Opens a send; it counts as unknown until it is closed.
  size_t add(std::string server);
  void setOutcome(size_t attempt, AttemptOutcome outcome);

  /// No backend server has run the request, nor will.
  bool noneExecuted() const;
  /// Attempts that reached a server or may have.
  size_t sentCount() const;
  const std::vector<Attempt> &all() const { return Attempts; }

private:
  std::vector<Attempt> Attempts;
};

/// Why a request was given up on.
enum class FailureCause {
  /// No server is known that takes it.
  NoServer,
  /// Servers are known, and none can begin it in time.
  Overloaded,
  /// Servers failed it or turned it away.
  Failed,
  /// Its time is over.
  TimedOut,
};

std::string_view toString(FailureCause c);

/// Status of the final answer: one that promises "not run" only where that is
/// true.
unsigned finalStatus(const AttemptRecord &record, FailureCause cause);

} // namespace sardineford::gateway
