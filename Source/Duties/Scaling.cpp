#include "Sardineford/Duties/Scaling.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sardineford::duties {

namespace {

/// Ratio of the time that an engine may spend on prefills at the peak. A prompt
/// that arrives while another one is prefilled waits for it, so short
/// objectives need engines that are idle more often than not.
constexpr double MaxPrefillRatio = 0.3;
/// Ratio of the slots that may be taken at the peak.
constexpr double MaxSlotRatio = 0.7;
/// Added to what the demand needs: servers that crash or are replaced.
constexpr double SpareRatio = 0.1;
/// Ratio of a failure domain's servers that one step down may remove. Their
/// cached prompt parts are lost, and their requests move to the others.
constexpr double MaxStepDownRatio = 0.34;
/// Time without a change before a step down.
constexpr Milliseconds StepDownInterval{3'000};
/// Demand is known after this many intervals with requests before or in them:
/// longer than a swing between long prompts and long answers.
constexpr size_t MinIntervals = 8;
/// The demand swings with periods of several seconds; a peak is remembered for
/// longer than that.
constexpr Milliseconds PeakMemory{20'000};

/// A process that is silent for this long has ended.
constexpr Milliseconds ReporterMemory{30'000};
/// An interval that lasted longer has missed reports.
constexpr Milliseconds MaxInterval{3'000};

double priceOf(const ScalingBounds &bounds, const std::string &domain) {
  auto it = bounds.Prices.find(domain);
  return it == bounds.Prices.end() ? 1.0 : it->second;
}

unsigned currentNumber(const DomainServers &d) {
  return d.Ordered.value_or(d.Present);
}

/// Splits the servers among the failure domains. No domain has more than half
/// of them where there are others, so that the loss of one leaves the other
/// half. Cheaper domains get more, in inverse proportion to their prices.
std::vector<unsigned> splitServers(const ScalingInput &input, unsigned needed) {
  double weights = 0;
  for (const DomainServers &it : input.Domains)
    weights += 1 / std::max(0.01, priceOf(input.Bounds, it.FailureDomain));
  std::vector<unsigned> out;
  double mostRatio = input.Domains.size() > 1 ? 0.5 : 1;
  for (const DomainServers &it : input.Domains) {
    double ratio =
        1 / std::max(0.01, priceOf(input.Bounds, it.FailureDomain)) / weights;
    double n = std::ceil(needed * std::min(mostRatio, ratio));
    out.push_back(std::clamp(static_cast<unsigned>(n), input.Bounds.Min,
                             input.Bounds.Max));
  }
  return out;
}

/// Returns the number after one step from `current` towards `target`.
unsigned step(unsigned current, unsigned target, Milliseconds sinceLastChange) {
  if (target >= current)
    return target;
  if (sinceLastChange < StepDownInterval)
    return current;
  auto lowest = static_cast<unsigned>(
      std::ceil(static_cast<double>(current) * (1 - MaxStepDownRatio)));
  lowest = std::min(lowest, current - 1);
  return std::max(target, lowest);
}

} // namespace

unsigned neededServers(const ServiceDemand &peak, unsigned slotsPerServer) {
  double forPrefills = peak.PrefillLoad / MaxPrefillRatio;
  double forSlots =
      peak.RequestsInFlight / (std::max(1U, slotsPerServer) * MaxSlotRatio);
  return static_cast<unsigned>(
      std::ceil(std::max(forPrefills, forSlots) * (1 + SpareRatio)));
}

std::vector<DomainOrder> decideServers(const ScalingInput &input) {
  std::vector<DomainOrder> out;
  if (!input.PeakDemand || input.Domains.empty() ||
      input.Bounds.Max < input.Bounds.Min)
    return out;
  unsigned needed = neededServers(*input.PeakDemand, input.SlotsPerServer);
  std::vector<unsigned> targets = splitServers(input, needed);
  for (size_t i = 0; i < input.Domains.size(); ++i) {
    const DomainServers &domain = input.Domains[i];
    unsigned current = currentNumber(domain);
    unsigned next = step(current, targets[i], input.SinceLastChange);
    next = std::clamp(next, input.Bounds.Min, input.Bounds.Max);
    if (next != current)
      out.push_back({domain.FailureDomain, next});
  }
  return out;
}

void DemandHistory::record(const ServiceDemand &demand, MonoTime now) {
  // Before the first request, nothing tells what the callers will need.
  if (Intervals.empty() && demand.RequestsInFlight == 0)
    return;
  Intervals.push_back({now, demand});
  while (!Intervals.empty() && now - Intervals.front().At > PeakMemory)
    Intervals.pop_front();
}

std::optional<ServiceDemand> DemandHistory::peak(MonoTime now) const {
  ServiceDemand out;
  size_t n = 0;
  for (const Interval &it : Intervals) {
    if (now - it.At > PeakMemory)
      continue;
    ++n;
    out.PrefillLoad = std::max(out.PrefillLoad, it.Demand.PrefillLoad);
    out.RequestsInFlight =
        std::max(out.RequestsInFlight, it.Demand.RequestsInFlight);
  }
  return n >= MinIntervals ? std::make_optional(out) : std::nullopt;
}

void DemandTotals::merge(const std::string &incarnation, const WorkDone &done,
                         MonoTime now) {
  auto [it, isNew] = Reporters.try_emplace(incarnation);
  Reporter &reporter = it->second;
  reporter.HeardAt = now;
  // The work before the first report is of earlier intervals.
  if (!isNew) {
    Interval.Prefills +=
        std::max(Seconds(0), done.Prefills - reporter.Done.Prefills);
    Interval.InFlight +=
        std::max(Seconds(0), done.InFlight - reporter.Done.InFlight);
  }
  reporter.Done.Prefills = std::max(reporter.Done.Prefills, done.Prefills);
  reporter.Done.InFlight = std::max(reporter.Done.InFlight, done.InFlight);
}

void DemandTotals::endInterval(MonoTime now) {
  std::erase_if(Reporters, [&](const auto &it) {
    return now - it.second.HeardAt > ReporterMemory;
  });
  if (IntervalStart && now - *IntervalStart <= MaxInterval) {
    double seconds = toSeconds(now - *IntervalStart);
    if (seconds > 0)
      History.record({Interval.Prefills.count() / seconds,
                      Interval.InFlight.count() / seconds},
                     now);
  }
  IntervalStart = now;
  Interval = {};
}

void DemandTotals::reset() { *this = {}; }

} // namespace sardineford::duties
