#include "StandIns/Soak/SoakChecks.h"

#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"

#include <map>

namespace sardineford::standins {

namespace {

std::map<std::string, int> countRuns(const std::string &file) {
  std::map<std::string, int> runs;
  for (const WorkerNote &it : readHistory(file))
    if (it.What == "run")
      ++runs[it.Request];
  return runs;
}

std::string describe(const CallResult &c, int runs) {
  return c.Id + " on " + c.Route + ", status " + std::to_string(c.Status) +
         ", runs " + std::to_string(runs);
}

} // namespace

std::vector<std::string> checkPromises(const std::vector<CallResult> &calls,
                                       const std::string &historyFile) {
  std::map<std::string, int> runs = countRuns(historyFile);
  std::vector<std::string> out;
  for (const CallResult &it : calls) {
    int n = runs.contains(it.Id) ? runs.at(it.Id) : 0;
    bool once = it.Route == OnceRoute || it.Route == StreamRoute;
    if (once && n > 1)
      out.push_back("ran more than once: " + describe(it, n));
    if (once && it.End == CallEnd::Refused && n > 0)
      out.push_back("said not to have run: " + describe(it, n));
    if (it.End == CallEnd::Wrong)
      out.push_back("a whole answer with other bytes: " + describe(it, n));
    if (it.End == CallEnd::Refused && !it.ToldWhenToReturn)
      out.push_back("refused without a time to return: " + describe(it, n));
  }
  return out;
}

} // namespace sardineford::standins
