#include "Sardineford/Common/Error.h"
#include "Sardineford/Common/Log.h"
#include "Timeline/Collect.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(processes, "127.0.0.1:8080",
              "comma-separated HTTP addresses of entries and controllers");
DEFINE_string(request, "", "only events of this request");
DEFINE_string(engine, "", "only events of this engine");
DEFINE_string(pool, "", "only events of this pool");
DEFINE_uint64(
    since_ms, 0,
    "maximum age of events relative to the newest one, ms; 0 for all");
DEFINE_string(svg, "", "output file for an image (SVG)");

using namespace sardineford;

int main(int argc, char **argv) {
  gflags::SetUsageMessage("Shows the events of all processes in causal order.");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Warning, .Process = "timeline"});
  try {
    std::vector<http::Endpoint> processes;
    std::istringstream in(FLAGS_processes);
    for (std::string item; std::getline(in, item, ',');)
      processes.push_back(http::parseEndpoint(item));
    timeline::Filter filter{FLAGS_request, FLAGS_engine, FLAGS_pool,
                            FLAGS_since_ms};
    timeline::Collection c = timeline::collect(processes, filter);
    std::cout << timeline::toText(c);
    if (!FLAGS_svg.empty())
      std::ofstream(FLAGS_svg) << timeline::toSvg(c);
    return c.Unreachable.empty() ? 0 : 1;
  } catch (const Error &e) {
    std::cerr << e.what() << "; " << e.Remedy << "\n";
    return 2;
  }
}
