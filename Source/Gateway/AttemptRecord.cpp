#include "Sardineford/Gateway/AttemptRecord.h"

#include "Sardineford/Http/Status.h"

#include <algorithm>
#include <utility>

namespace sardineford::gateway {

std::string_view toString(AttemptOutcome o) {
  switch (o) {
  case AttemptOutcome::NeverSent:
    return "never_sent";
  case AttemptOutcome::NotExecuted:
    return "not_run";
  case AttemptOutcome::Unknown:
    return "unknown";
  case AttemptOutcome::Answered:
    return "answered";
  }
  return "unknown";
}

std::string_view toString(FailureCause c) {
  switch (c) {
  case FailureCause::NoServer:
    return "no_server";
  case FailureCause::Overloaded:
    return "overloaded";
  case FailureCause::Failed:
    return "failed";
  case FailureCause::TimedOut:
    return "timed_out";
  case FailureCause::VersionUnknown:
    return "version_unknown";
  case FailureCause::Blocked:
    return "blocked";
  }
  return "failed";
}

size_t AttemptRecord::add(std::string server) {
  Attempts.push_back({std::move(server), AttemptOutcome::Unknown});
  return Attempts.size() - 1;
}

void AttemptRecord::setOutcome(size_t attempt, AttemptOutcome outcome) {
  Attempts[attempt].Outcome = outcome;
}

bool AttemptRecord::noneExecuted() const {
  return std::all_of(Attempts.begin(), Attempts.end(), [](const Attempt &it) {
    return it.Outcome == AttemptOutcome::NeverSent ||
           it.Outcome == AttemptOutcome::NotExecuted;
  });
}

size_t AttemptRecord::sentCount() const {
  return static_cast<size_t>(
      std::count_if(Attempts.begin(), Attempts.end(), [](const Attempt &it) {
        return it.Outcome != AttemptOutcome::NeverSent;
      }));
}

bool AttemptRecord::recordPrefill(AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::NeverSent)
    return false;
  if (outcome == AttemptOutcome::Answered && !std::exchange(IsPrefilled, true))
    return false;
  ++CountedPrefills;
  return true;
}

unsigned finalStatus(const AttemptRecord &record, FailureCause cause) {
  if (record.noneExecuted())
    return http::StatusUnavailable;
  return cause == FailureCause::TimedOut ? http::StatusGatewayTimeout
                                         : http::StatusBadGateway;
}

} // namespace sardineford::gateway
