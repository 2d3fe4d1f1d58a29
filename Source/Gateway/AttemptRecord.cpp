#include "Sardineford/Gateway/AttemptRecord.h"

#include "Sardineford/Http/Status.h"

#include <algorithm>

namespace sardineford::gateway {

std::string_view toString(SendOutcome o) {
  switch (o) {
  case SendOutcome::NeverSent:
    return "never_sent";
  case SendOutcome::NotRun:
    return "not_run";
  case SendOutcome::Unknown:
    return "unknown";
  case SendOutcome::Answered:
    return "answered";
  }
  return "unknown";
}

std::string_view toString(GiveUpCause c) {
  switch (c) {
  case GiveUpCause::NoServer:
    return "no_server";
  case GiveUpCause::Overloaded:
    return "overloaded";
  case GiveUpCause::Failed:
    return "failed";
  case GiveUpCause::TimedOut:
    return "timed_out";
  }
  return "failed";
}

size_t AttemptRecord::open(std::string server) {
  Sends.push_back({std::move(server), SendOutcome::Unknown});
  return Sends.size() - 1;
}

void AttemptRecord::close(size_t send, SendOutcome outcome) {
  Sends[send].Outcome = outcome;
}

bool AttemptRecord::hasNotRun() const {
  return std::all_of(Sends.begin(), Sends.end(), [](const Send &it) {
    return it.Outcome == SendOutcome::NeverSent ||
           it.Outcome == SendOutcome::NotRun;
  });
}

size_t AttemptRecord::sends() const {
  return static_cast<size_t>(
      std::count_if(Sends.begin(), Sends.end(), [](const Send &it) {
        return it.Outcome != SendOutcome::NeverSent;
      }));
}

unsigned finalStatus(const AttemptRecord &record, GiveUpCause cause) {
  if (record.hasNotRun())
    return http::StatusUnavailable;
  return cause == GiveUpCause::TimedOut ? http::StatusGatewayTimeout
                                        : http::StatusBadGateway;
}

} // namespace sardineford::gateway
