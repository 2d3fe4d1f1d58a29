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

/// Arrivals a second.
struct Demand {
  double Requests = 0;
  double PromptTokens = 0;
  double OutputTokens = 0;
};

/// A fast and a slow average of the demand. Their difference tells how far the
/// mix may still be from settling.
struct DemandEstimate {
  Demand Fast;
  Demand Slow;
  bool HasSamples = false;
};

struct EstimatorTimeConstants {
  Seconds Fast{3};
  Seconds Slow{30};
};

/// Takes a sample into the averages.
void addSample(DemandEstimate &e, const DemandSample &s,
               const EstimatorTimeConstants &times);

/// The fast average moved towards the slow one by a share.
Demand blend(const DemandEstimate &e, double shareOfSlow);

} // namespace sardineford::roles
