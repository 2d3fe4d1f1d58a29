#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/ServerLoad.h"

#include <cstddef>
#include <optional>

namespace sardineford::fleet {

/// What decides how many connections to one server this process may hold.
struct ConnectionBudgetInput {
  /// Connections that the server accepts from all processes together; 0 if its
  /// service names no limit.
  unsigned MaxConnections = 0;
  /// Number of processes that may exist; 0 while it is not known.
  unsigned Processes = 0;
  /// Rank of this process in the order of all processes, if it is known.
  std::optional<unsigned> Rank;
  /// Position of the server in the order of the servers of its service.
  size_t ServerIndex = 0;
  /// Estimated ratio of MaxConnections that the server accepts now.
  double AcceptedRatio = 1;
};

/// Part of a server's connections that this process may hold.
struct ConnectionPart {
  /// Open connections, in use and idle; empty if they are not limited.
  std::optional<size_t> Open;
  /// Idle ones among them.
  size_t Idle = 0;
};

/// Divides the connections of a server among the processes. The parts of
/// processes that know the same processes and servers never add up to more than
/// the limit. With fewer connections than processes, consecutive servers accept
/// consecutive ranks, so that each process may use some of the servers.
ConnectionPart decideConnections(const ConnectionBudgetInput &in);

/// How a request gets its connection.
enum class ConnectionStep {
  Reuse,
  Open,
  /// An idle connection is closed before the new one is opened.
  Replace,
  /// The part is used up.
  None,
};

/// Decides how a request gets a connection, where this process has `open` ones,
/// `idle` of them idle. `mustBeNew`: the request may not be sent on a reused
/// connection.
ConnectionStep decideConnectionStep(size_t open, size_t idle,
                                    std::optional<size_t> maxOpen,
                                    bool mustBeNew);

/// Estimates which ratio of its connection limit a server accepts, from
/// connections that it reset right after they were opened, and from its
/// reported load.
class AcceptedConnections {
public:
  /// Resets that many requests see at the same time count once.
  void recordReset(MonoTime now);
  double ratio(const std::optional<ReportedLoad> &load, MonoTime now) const;
  /// Returns whether the server has lately reset a new connection.
  bool hasReset(MonoTime now) const;

private:
  double ratioAfterResets(MonoTime now) const;

  double RatioAtReset = 1;
  MonoTime ResetAt{};
};

} // namespace sardineford::fleet
