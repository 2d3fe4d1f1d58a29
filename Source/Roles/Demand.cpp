#include "Sardineford/Roles/Demand.h"

#include <cmath>

namespace sardineford::roles {

namespace {

void approach(double &average, double value, double weight) {
  average += weight * (value - average);
}

void approach(Demand &average, const Demand &now, double weight) {
  approach(average.Requests, now.Requests, weight);
  approach(average.PromptTokens, now.PromptTokens, weight);
  approach(average.OutputTokens, now.OutputTokens, weight);
}

double weightOf(Seconds interval, Seconds time) {
  return 1 - std::exp(-interval.count() / time.count());
}

double mix(double a, double b, double shareOfB) {
  return a + (b - a) * shareOfB;
}

} // namespace

void addSample(DemandEstimate &e, const DemandSample &s,
               const EstimatorTimeConstants &times) {
  double seconds = s.Interval.count();
  if (seconds <= 0)
    return;
  Demand now{s.Requests / seconds, s.PromptTokens / seconds,
             s.OutputTokens / seconds};
  if (!e.HasSamples) {
    e.Fast = e.Slow = now;
    e.HasSamples = true;
    return;
  }
  approach(e.Fast, now, weightOf(s.Interval, times.Fast));
  approach(e.Slow, now, weightOf(s.Interval, times.Slow));
}

Demand blend(const DemandEstimate &e, double shareOfSlow) {
  return {mix(e.Fast.Requests, e.Slow.Requests, shareOfSlow),
          mix(e.Fast.PromptTokens, e.Slow.PromptTokens, shareOfSlow),
          mix(e.Fast.OutputTokens, e.Slow.OutputTokens, shareOfSlow)};
}

} // namespace sardineford::roles
