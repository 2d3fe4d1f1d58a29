#pragma once

#include "Sardineford/Common/Time.h"

namespace sardineford::roles {

/// Work that arrived in an interval, in tokens of each phase.
struct DemandSample {
  Seconds Interval{0};
  double Requests = 0;
  double PromptTokens = 0;
  double OutputTokens = 0;
};

/// Arrival rates per second.
struct Demand {
  double Requests = 0;
  double PromptTokens = 0;
  double OutputTokens = 0;
};

/// Exponential moving averages of the demand with a short and a long time
/// constant. Their difference shows how far the mix of prompt and output tokens
/// may still change.
struct DemandEstimate {
  Demand Fast;
  Demand Slow;
  bool HasSamples = false;
};

struct EstimatorTimeConstants {
  Seconds Fast{3};
  Seconds Slow{30};
};

/// Updates both averages with a sample.
void addSample(DemandEstimate &estimate, const DemandSample &sample,
               const EstimatorTimeConstants &times);

/// Interpolates from the fast average (weight 0) to the slow one (weight 1).
Demand blend(const DemandEstimate &estimate, double slowWeight);

} // namespace sardineford::roles
