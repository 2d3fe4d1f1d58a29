#include "Control/Commands.h"

#include "Sardineford/Common/Log.h"

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

#include <unistd.h>

DEFINE_string(platform, "127.0.0.1:9100", "address of the object API");
DEFINE_string(controllers, "127.0.0.1:8080",
              "comma-separated addresses of controllers");
DEFINE_string(nodes, "", "comma-separated metrics addresses of daemons");
DEFINE_string(f, "", "input file with objects, or with one address a line");
DEFINE_string(o, "table", "output format: table or json");
DEFINE_bool(wait, false, "wait until all processes have applied the edit");
DEFINE_int32(wait_ms, 30000, "timeout of --wait, ms");
DEFINE_bool(undo, false, "undo a drain or a pinned role");

using namespace sardineford;

namespace {

constexpr const char *Usage =
    "Edits and shows the objects of sardineford.\n"
    "  validate -f FILE          validate a file against the stored objects\n"
    "  apply -f FILE [--wait]    write the objects of a file\n"
    "  diff -f FILE              show the changes that apply would make\n"
    "  get [KIND [NAME]]         list objects, or show one\n"
    "  describe KIND NAME        show one object with its version\n"
    "  delete KIND NAME          remove an object\n"
    "  drain POOL ENGINE         drain an engine and keep it drained\n"
    "  role POOL ENGINE ROLE     pin an engine to prefill or decode\n"
    "  status                    show the applied generation, pools and "
    "members\n"
    "  nodes --nodes=LIST|-f F   show what is wrong with daemons, worst first\n"
    "Exit codes: 0 done, 1 failed, 2 usage error, 3 conflict, 4 rejected, "
    "5 store unavailable, 6 not applied before the timeout, 7 a daemon has a "
    "problem.";

std::vector<http::Endpoint> parseEndpoints(const std::string &text) {
  std::vector<http::Endpoint> out;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, ',');)
    out.push_back(http::parseEndpoint(item));
  return out;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(Usage);
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Warning, .Process = "ctl"});
  control::CommandOptions options;
  options.File = FLAGS_f;
  options.AsJson = FLAGS_o == "json";
  options.Wait = FLAGS_wait;
  options.WaitTimeout = Milliseconds(FLAGS_wait_ms);
  options.Undo = FLAGS_undo;
  options.ShowProgress = isatty(STDERR_FILENO) != 0;
  for (int i = 1; i < argc; ++i)
    options.Arguments.emplace_back(argv[i]);
  try {
    options.Platform = http::parseEndpoint(FLAGS_platform);
    options.Controllers = parseEndpoints(FLAGS_controllers);
    options.Nodes = parseEndpoints(FLAGS_nodes);
  } catch (const Error &e) {
    std::cerr << e.what() << "; " << e.Remedy << "\n";
    return static_cast<int>(control::ExitCode::UsageError);
  }
  return static_cast<int>(control::runCommand(options, std::cout, std::cerr));
}
