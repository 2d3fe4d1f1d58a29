#pragma once

#include "Sardineford/Common/Time.h"

#include <optional>

namespace sardineford::retry {

/// What decides whether a prompt may be prefilled at an engine of its own. A
/// prefill that is not executed counts as a call of its request, so that the
/// run after it needs a retry from the budget.
struct PrefillRisk {
  /// No call of the request has counted yet.
  bool IsFirstCall = true;
  /// Further attempts that the budget allows now.
  double BudgetLeft = 0;
  /// Time since a separate prefill of the service was last not executed.
  std::optional<Milliseconds> FailedAgo;
  /// Time over which attempts are counted.
  Milliseconds Window{0};
};

bool mayPrefillSeparately(const PrefillRisk &risk);

} // namespace sardineford::retry
