#include "Sardineford/Fleet/ServerPace.h"

#include <algorithm>
#include <array>

namespace sardineford::fleet {

namespace {

/// A response that takes longer than expected by this factor is slow. Times of
/// equal servers vary by less than a factor of two.
constexpr double SlowFactor = 2;
/// Requests of all processes at the start, as a ratio of the slots. Reports of
/// the other processes' requests are late, and a cold server takes several
/// times as long; with all slots, 60 simulated processes overran its queue.
constexpr double StartSlotRatio = 0.5;
/// A slow server that becomes slower by this factor is being overloaded.
constexpr double WorseFactor = 1.5;
constexpr double SlownessWeight = 0.2;
/// Ratio by which the share is reduced.
constexpr double ReductionFactor = 0.5;
/// Smallest share of all processes together, as a ratio of the slots. The
/// server is not idle and shows when it has recovered.
constexpr double MinSlotRatio = 0.25;
/// All processes together may send a server this multiple of its slots before
/// it counts as established: running requests and as many that wait.
constexpr double FullSlotFactor = 2;
/// A single fast response can be chance.
constexpr unsigned GoodResponsesToFull = 3;
/// A server that is slow without becoming slower has no warm-up left; the
/// choice of servers accounts for its speed.
constexpr unsigned SteadyResponsesToFull = 20;
/// Longest rest of a process between two requests to a paced server.
constexpr std::chrono::seconds MaxRest{10};

double processesOf(const PaceTerms &terms) {
  return std::max(1U, terms.Processes);
}

double slotsOf(const PaceTerms &terms) { return std::max(1U, terms.Slots); }

double fullShare(const PaceTerms &terms) {
  return std::max(1.0, FullSlotFactor * slotsOf(terms) / processesOf(terms));
}

double minShare(const PaceTerms &terms) {
  return std::max(1.0, MinSlotRatio * slotsOf(terms)) / processesOf(terms);
}

MonoClock::duration restFor(double share, Seconds requestTime) {
  return std::chrono::duration_cast<MonoClock::duration>(
      std::min<Seconds>(requestTime / share, MaxRest));
}

PaceChange reduce(ServerPace &pace, const PaceTerms &terms, MonoTime now) {
  pace.GoodResponses = 0;
  pace.SteadyResponses = 0;
  if (pace.ReducedAt != MonoTime{} && now - pace.ReducedAt < terms.RequestTime)
    return PaceChange::Held;
  pace.ReducedAt = now;
  pace.Share = std::max(minShare(terms), pace.Share * ReductionFactor);
  if (pace.Share < 1)
    pace.NextAt =
        std::max(pace.NextAt, now + restFor(pace.Share, terms.RequestTime));
  return PaceChange::Reduced;
}

/// Returns how much slower than the others the server responds.
double slownessOf(const PaceResult &result) {
  double out = result.Expected > Seconds(0) ? result.Took / result.Expected : 1;
  if (result.Load && result.Load->TimeRatio && result.OthersTimeRatio > 0)
    out = std::max(out, *result.Load->TimeRatio / result.OthersTimeRatio);
  return out;
}

} // namespace

std::string_view toString(PaceChange change) {
  constexpr std::array<std::string_view, 4> Names = {"held", "raised",
                                                     "reduced", "full"};
  return Names[static_cast<size_t>(change)];
}

ServerPace startPace(const PaceTerms &terms, double draw, MonoTime now) {
  ServerPace out;
  out.StartedAt = now;
  out.Share = StartSlotRatio * slotsOf(terms) / processesOf(terms);
  out.NextAt = now;
  if (out.Share < 1)
    out.NextAt += std::chrono::duration_cast<MonoClock::duration>(
        restFor(out.Share, terms.RequestTime) * draw);
  return out;
}

bool maySend(const ServerPace &pace, const PaceTerms &terms, unsigned inFlight,
             unsigned known, MonoTime now) {
  if (pace.GoodResponses == 0 && known >= FullSlotFactor * slotsOf(terms))
    return false;
  if (pace.Share >= 1)
    return inFlight < static_cast<unsigned>(pace.Share);
  return inFlight == 0 && now >= pace.NextAt;
}

void recordPacedRequest(ServerPace &pace, const PaceTerms &terms,
                        MonoTime now) {
  if (pace.Share < 1)
    pace.NextAt = now + restFor(pace.Share, terms.RequestTime);
}

PaceChange recordPaceResult(ServerPace &pace, const PaceTerms &terms,
                            const PaceResult &result, MonoTime now) {
  if (result.Event != PaceEvent::Answered)
    return reduce(pace, terms, now);
  double slowness = slownessOf(result);
  double before = pace.Slowness == 0 ? slowness : pace.Slowness;
  pace.Slowness = before + (slowness - before) * SlownessWeight;
  bool isSlow = slowness > SlowFactor;
  unsigned waiting = result.Load ? result.Load->Waiting : 0;
  if (waiting >= slotsOf(terms) || (isSlow && slowness > before * WorseFactor))
    return reduce(pace, terms, now);
  if (isSlow) {
    pace.GoodResponses = 0;
    return ++pace.SteadyResponses >= SteadyResponsesToFull ? PaceChange::Full
                                                           : PaceChange::Held;
  }
  pace.SteadyResponses = 0;
  // Others keep the server busy already.
  if (waiting > 0)
    return PaceChange::Held;
  ++pace.GoodResponses;
  // Doubles the requests in flight in the time of a request.
  pace.Share = std::min(fullShare(terms), pace.Share + 1);
  bool isFull = pace.Share >= fullShare(terms) &&
                pace.GoodResponses >= GoodResponsesToFull;
  return isFull ? PaceChange::Full : PaceChange::Raised;
}

std::vector<bool> findHeldBack(const std::vector<PaceCandidate> &servers) {
  std::array<bool, 2> hasOther{};
  for (const PaceCandidate &it : servers)
    if (!it.IsHeld && !it.IsEjected)
      hasOther[it.IsPrefill ? 1 : 0] = true;
  std::vector<bool> out;
  out.reserve(servers.size());
  for (const PaceCandidate &it : servers)
    out.push_back(it.IsHeld && hasOther[it.IsPrefill ? 1 : 0]);
  return out;
}

} // namespace sardineford::fleet
