#include "Sardineford/Retry/PrefillRisk.h"

namespace sardineford::retry {

namespace {

/// Retries that a further attempt with a separate prefill may need: one for the
/// prefill and one for the run.
constexpr double FurtherPrefillCost = 2;

} // namespace

bool mayPrefillSeparately(const PrefillRisk &risk) {
  if (!risk.IsFirstCall)
    return risk.BudgetLeft >= FurtherPrefillCost;
  bool hasFailed = risk.FailedAgo && *risk.FailedAgo < risk.Window;
  return risk.BudgetLeft >= 1 || !hasFailed;
}

} // namespace sardineford::retry
