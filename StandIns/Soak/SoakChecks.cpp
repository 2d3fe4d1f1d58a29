#include "StandIns/Soak/SoakChecks.h"

#include "Sardineford/Http/Status.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"

#include <map>

namespace sardineford::standins {

namespace {

std::map<std::string, int> countExecutions(const std::string &file) {
  std::map<std::string, int> executions;
  for (const WorkerEvent &it : readHistory(file))
    if (it.Action == "run")
      ++executions[it.Request];
  return executions;
}

std::string describe(const CallResult &c, int executions) {
  return c.Id + " on " + c.Route + ", status " + std::to_string(c.Status) +
         ", executions " + std::to_string(executions);
}

} // namespace

std::vector<std::string> checkInvariants(const std::vector<CallResult> &calls,
                                         const std::string &historyFile) {
  std::map<std::string, int> executions = countExecutions(historyFile);
  std::vector<std::string> out;
  for (const CallResult &it : calls) {
    int n = executions.contains(it.Id) ? executions.at(it.Id) : 0;
    bool isAtMostOnce = it.Route == OnceRoute || it.Route == StreamRoute;
    if (isAtMostOnce && n > 1)
      out.push_back("executed more than once: " + describe(it, n));
    bool isOneRequest = isAtMostOnce || it.Route == RepeatableRoute;
    if (isOneRequest && it.Outcome == DaemonCallOutcome::Rejected && n > 0)
      out.push_back("rejected as not executed, but executed: " +
                    describe(it, n));
    if (it.Outcome == DaemonCallOutcome::Incorrect)
      out.push_back("complete response with wrong content: " + describe(it, n));
    if (it.Outcome == DaemonCallOutcome::MixedVersions)
      out.push_back("events of two versions: " + describe(it, n));
    if (it.Outcome == DaemonCallOutcome::Rejected && !it.HasRetryAfter)
      out.push_back("rejected without a retry time: " + describe(it, n));
  }
  return out;
}

std::vector<std::string>
checkCompleteness(const std::vector<CallResult> &calls) {
  std::vector<std::string> out;
  for (const CallResult &it : calls)
    if (it.Outcome == DaemonCallOutcome::Disconnected ||
        it.Status == http::StatusBadGateway ||
        it.Status == http::StatusGatewayTimeout)
      out.push_back("incomplete response of a living server: " + it.Id +
                    " on " + it.Route + ", status " +
                    std::to_string(it.Status));
  return out;
}

size_t countArrivals(const std::string &historyFile, const std::string &server,
                     Milliseconds from, const std::set<std::string> *requests) {
  size_t n = 0;
  for (const WorkerEvent &it : readHistory(historyFile))
    if (it.Action == "arrival" && it.Time >= from &&
        (server.empty() || it.Server == server) &&
        (!requests || requests->contains(it.Request)))
      ++n;
  return n;
}

} // namespace sardineford::standins
