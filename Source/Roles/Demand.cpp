#include "Sardineford/Roles/Demand.h"

#include <cmath>

namespace sardineford::roles {

namespace {

void updateAverage(double &average, double value, double weight) {
  average += weight * (value - average);
}

void updateAverage(Demand &average, const Demand &rates, double weight) {
  updateAverage(average.Requests, rates.Requests, weight);
  updateAverage(average.PromptTokens, rates.PromptTokens, weight);
  updateAverage(average.OutputTokens, rates.OutputTokens, weight);
}

double sampleWeight(Seconds interval, Seconds timeConstant) {
  return 1 - std::exp(-interval.count() / timeConstant.count());
}

double interpolate(double a, double b, double weightOfB) {
  return a + (b - a) * weightOfB;
}

} // namespace

void addSample(DemandEstimate &estimate, const DemandSample &sample,
               const EstimatorTimeConstants &times) {
  double seconds = sample.Interval.count();
  if (seconds <= 0)
    return;
  Demand rates{sample.Requests / seconds, sample.PromptTokens / seconds,
               sample.OutputTokens / seconds};
  if (!estimate.HasSamples) {
    estimate.Fast = estimate.Slow = rates;
    estimate.HasSamples = true;
    return;
  }
  updateAverage(estimate.Fast, rates,
                sampleWeight(sample.Interval, times.Fast));
  updateAverage(estimate.Slow, rates,
                sampleWeight(sample.Interval, times.Slow));
}

Demand blend(const DemandEstimate &estimate, double slowWeight) {
  return {
      interpolate(estimate.Fast.Requests, estimate.Slow.Requests, slowWeight),
      interpolate(estimate.Fast.PromptTokens, estimate.Slow.PromptTokens,
                  slowWeight),
      interpolate(estimate.Fast.OutputTokens, estimate.Slow.OutputTokens,
                  slowWeight)};
}

} // namespace sardineford::roles
