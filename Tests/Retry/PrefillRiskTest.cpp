#include "Sardineford/Retry/PrefillRisk.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using retry::mayPrefillSeparately;
using retry::PrefillRisk;

namespace {

constexpr Milliseconds Window{10'000};

} // namespace

TEST_CASE("a prefill that may be rejected leaves a retry for the run") {
  PrefillRisk r{true, 0.5, Milliseconds(200), Window};
  CHECK_FALSE(mayPrefillSeparately(r));
  r.BudgetLeft = 1;
  CHECK(mayPrefillSeparately(r));
  r = {false, 1.5, std::nullopt, Window};
  CHECK_FALSE(mayPrefillSeparately(r));
  r.BudgetLeft = 2;
  CHECK(mayPrefillSeparately(r));
}

TEST_CASE("prompts are prefilled separately without a retry left if no prefill "
          "has failed lately") {
  PrefillRisk r{true, 0, std::nullopt, Window};
  CHECK(mayPrefillSeparately(r));
  r.FailedAgo = Window;
  CHECK(mayPrefillSeparately(r));
}
