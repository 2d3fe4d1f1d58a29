#include "Sardineford/Fleet/ConnectionBudget.h"

#include <algorithm>

namespace sardineford::fleet {

namespace {

/// Ratio of a server's limit that the processes divide. The rest is for
/// connections that are closed but still counted by the server, and for the
/// time in which processes know different numbers of processes.
constexpr double DividedRatio = 0.9;
/// Parts of more connections than this are not limited: a client keeps no more
/// idle connections per endpoint.
constexpr size_t MaxLimitedPart = 64;
/// Processes that are assumed while their number is not known.
constexpr unsigned AssumedProcesses = 64;

/// Ratio of the estimate that is left after a reset, and the lowest estimate.
constexpr double ResetFactor = 0.7;
constexpr double MinRatio = 0.1;
/// Resets within this time of the first one count once.
constexpr Milliseconds ResetInterval{100};
/// Growth of the estimate a second while there are no resets.
constexpr double GrowthPerSecond = 0.1;
/// Time for which a reset makes further ones likely.
constexpr std::chrono::seconds ResetMemory{5};
/// A server may accept fewer connections while more requests wait than it has
/// slots. How many is not published; half is assumed at most.
constexpr double MinRatioOfLoad = 0.5;
/// Older loads say nothing of the queue.
constexpr std::chrono::seconds LoadMemory{1};

double ratioOfLoad(const std::optional<ReportedLoad> &load, MonoTime now) {
  if (!load || now - load->ReceivedAt > LoadMemory ||
      load->Load.Waiting <= load->Load.Slots)
    return 1;
  return std::max(MinRatioOfLoad,
                  static_cast<double>(load->Load.Slots) / load->Load.Waiting);
}

} // namespace

ConnectionPart decideConnections(const ConnectionBudgetInput &in) {
  ConnectionPart out;
  out.Idle = MaxLimitedPart;
  if (in.MaxConnections == 0)
    return out;
  size_t processes = in.Processes > 0 ? in.Processes : AssumedProcesses;
  auto divided = static_cast<size_t>(in.MaxConnections * DividedRatio *
                                     std::clamp(in.AcceptedRatio, 0.0, 1.0));
  size_t part = divided / processes;
  if (part > MaxLimitedPart)
    return out;
  if (in.Processes > 0 && in.Rank) {
    // The windows of consecutive servers tile the ring of the ranks. They do
    // not depend on the estimate, which differs between processes.
    auto window = static_cast<size_t>(in.MaxConnections * DividedRatio);
    size_t start = in.ServerIndex * (window % processes) % processes;
    size_t place =
        (*in.Rank % processes + processes - start % processes) % processes;
    part += place < divided % processes ? 1 : 0;
  }
  out.Open = part;
  // Requests that are executed at most once need places for new connections.
  out.Idle = part > 1 ? part / 2 : part;
  return out;
}

ConnectionStep decideConnectionStep(size_t open, size_t idle,
                                    std::optional<size_t> maxOpen,
                                    bool mustBeNew) {
  if (!mustBeNew && idle > 0)
    return ConnectionStep::Reuse;
  if (!maxOpen || open < *maxOpen)
    return ConnectionStep::Open;
  return open - std::min(open, idle) < *maxOpen ? ConnectionStep::Replace
                                                : ConnectionStep::None;
}

void AcceptedConnections::recordReset(MonoTime now) {
  if (ResetAt != MonoTime{} && now - ResetAt < ResetInterval)
    return;
  RatioAtReset = std::max(MinRatio, ratioAfterResets(now) * ResetFactor);
  ResetAt = now;
}

double AcceptedConnections::ratioAfterResets(MonoTime now) const {
  if (ResetAt == MonoTime{})
    return 1;
  return std::min(1.0,
                  RatioAtReset + toSeconds(now - ResetAt) * GrowthPerSecond);
}

double AcceptedConnections::ratio(const std::optional<ReportedLoad> &load,
                                  MonoTime now) const {
  return ratioAfterResets(now) * ratioOfLoad(load, now);
}

bool AcceptedConnections::hasReset(MonoTime now) const {
  return ResetAt != MonoTime{} && now - ResetAt < ResetMemory;
}

} // namespace sardineford::fleet
