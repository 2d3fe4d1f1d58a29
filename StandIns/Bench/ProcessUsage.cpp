#include "StandIns/Bench/ProcessUsage.h"

#include "StandIns/Deployment/Deployment.h"

#include <unistd.h>

#include <fstream>
#include <sstream>

namespace sardineford::standins {

namespace {

constexpr Milliseconds CallTimeout{3'000};
/// Number of fields in /proc/ID/stat before user and system time.
constexpr int FieldsBeforeTimes = 13;
constexpr double BytesPerMegabyte = 1024.0 * 1024.0;

} // namespace

ProcessUsage readProcessUsage(pid_t id) {
  ProcessUsage out;
  std::string folder = "/proc/" + std::to_string(id);
  std::ifstream stat(folder + "/stat");
  std::string skipped;
  for (int i = 0; i < FieldsBeforeTimes; ++i)
    stat >> skipped;
  double user = 0;
  double system = 0;
  stat >> user >> system;
  out.ProcessorSeconds =
      (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream statm(folder + "/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  out.ResidentMegabytes =
      resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / BytesPerMegabyte;
  return out;
}

std::map<std::string, double> readMetrics(const http::Endpoint &at) {
  std::map<std::string, double> out;
  http::Request request;
  request.Target = "/metrics";
  std::istringstream in(callBlocking(at, request, CallTimeout).Body);
  for (std::string line; std::getline(in, line);) {
    size_t space = line.rfind(' ');
    if (space != std::string::npos)
      out[line.substr(0, space)] = std::stod(line.substr(space + 1));
  }
  return out;
}

} // namespace sardineford::standins
