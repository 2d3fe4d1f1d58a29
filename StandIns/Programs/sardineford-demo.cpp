#include "Sardineford/Common/Log.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Engine/Text.h"
#include "StandIns/Service/Service.h"
#include "StandIns/Soak/Soak.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(programs, ".", "folder with the built programs");
DEFINE_string(examples, "examples", "folder with the examples");
DEFINE_string(folder, "/tmp/sardineford-demo", "folder for logs and settings");

using namespace sardineford;
namespace json = boost::json;

namespace {

constexpr Milliseconds ResponseTimeout{40'000};
constexpr size_t MaxShownBytes = 160;

/// A request from the examples.
struct Example {
  std::string Name;
  http::Request Request;
  json::value Body;
};

Example readExample(const std::string &file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  json::value v = json::parse(text.str());
  Example e;
  e.Name = json::value_to<std::string>(v.at("name"));
  e.Request.Method = json::value_to<std::string>(v.at("method"));
  e.Request.Target = json::value_to<std::string>(v.at("path"));
  for (const auto &it : v.at("headers").as_object())
    e.Request.Fields.add(std::string(it.key()),
                         std::string(it.value().as_string()));
  e.Body = v.at("body");
  if (!e.Body.is_null())
    e.Request.Body = json::serialize(e.Body);
  return e;
}

std::vector<Example> readExamples(const std::string &folder) {
  std::vector<std::string> files;
  for (const auto &it : std::filesystem::directory_iterator(folder))
    files.push_back(it.path().string());
  std::sort(files.begin(), files.end());
  std::vector<Example> out;
  out.reserve(files.size());
  for (const std::string &it : files)
    out.push_back(readExample(it));
  return out;
}

std::string promptOf(const json::object &body) {
  if (const json::value *v = body.if_contains("prompt"))
    return std::string(v->as_string());
  std::string out;
  for (const json::value &it : body.at("messages").as_array())
    out += std::string(it.at("role").as_string()) + ": " +
           std::string(it.at("content").as_string()) + "\n";
  return out;
}

/// Returns the text of a streamed or a non-streamed completion.
std::string completionText(const std::string &response, bool isStream) {
  if (!isStream)
    return std::string(
        json::parse(response).at("choices").at(0).at("text").as_string());
  std::string out;
  std::istringstream in(response);
  for (std::string line; std::getline(in, line);) {
    constexpr std::string_view Data = "data: ";
    if (!line.starts_with(Data) || line == "data: [DONE]")
      continue;
    json::value v = json::parse(line.substr(Data.size()));
    const json::value &choice = v.at("choices").at(0);
    out += std::string(choice.at("delta").at("content").as_string());
  }
  return out;
}

std::string expectedText(const Example &e) {
  if (e.Request.Target.starts_with("/services/")) {
    size_t path = e.Request.Target.find('/', std::string("/services/").size());
    return standins::serviceResponseBody(
        e.Request.Method, e.Request.Target.substr(path),
        e.Request.Fields.find("Idempotency-Key").value_or(""), e.Request.Body);
  }
  const json::object &body = e.Body.as_object();
  return standins::expectedCompletion(
      json::value_to<std::string>(body.at("model")), promptOf(body),
      body.at("max_tokens").to_number<uint64_t>());
}

std::string responseText(const Example &e, const http::Response &r) {
  if (r.Status != 200 || e.Request.Target.starts_with("/services/"))
    return r.Body;
  return completionText(r.Body, e.Body.as_object().at("stream").as_bool());
}

/// Sends one example and prints the response. Returns true if the response is
/// complete and correct.
bool runExample(const Example &e, const std::string &entry,
                const http::Endpoint &address) {
  MonoTime start = MonoClock::now();
  http::Response r =
      standins::callBlocking(address, e.Request, ResponseTimeout);
  std::string text = responseText(e, r);
  bool isCorrect = r.Status == 200 && text == expectedText(e);
  std::cout << (isCorrect ? "ok    " : "WRONG ") << e.Name << " by " << entry
            << ", status " << r.Status << ", " << text.size() << " bytes in "
            << toMilliseconds(MonoClock::now() - start).count() << " ms\n  "
            << text.substr(0, MaxShownBytes) << "\n";
  return isCorrect;
}

/// One of the two deployments of the demo.
struct DemoDeployment {
  std::string Name;
  std::string Pool;
  std::string Service;
  std::vector<std::string> Domains;
};

/// Starts a deployment and sends its examples. Returns the number of requests
/// that failed.
int runDeployment(const DemoDeployment &deployment, int &total) {
  standins::DeploymentOptions o;
  o.Programs = FLAGS_programs;
  o.Folder = FLAGS_folder + "/" + deployment.Name;
  o.ObjectsFile = FLAGS_examples + "/" + deployment.Name + "/objects.json";
  o.FailureDomains = deployment.Domains;
  o.Engines = {{deployment.Pool, 4}};
  o.Services = {{deployment.Service, 1}};
  o.Settings["shutdown.balancer_wait_ms"] = "200";
  standins::Deployment d(o);
  d.start();
  std::cout << deployment.Name << ": " << d.entries().size() << " entries, "
            << d.controllers().size() << " controllers, " << d.engines().size()
            << " engines are ready\n";
  int failed = 0;
  std::vector<std::string> entries = d.entries();
  for (const Example &it :
       readExamples(FLAGS_examples + "/" + deployment.Name + "/requests")) {
    const std::string &entry = entries[total++ % entries.size()];
    failed += runExample(it, entry, d.httpEndpoint(entry)) ? 0 : 1;
  }
  d.stop();
  return failed;
}

/// Runs daemons of the platform while some requests crash each engine that
/// begins to answer them and one engine names a limit. Returns whether the
/// others were served once the daemons had learned of it.
bool runPlatform() {
  standins::SoakOptions o;
  o.Faults = false;
  o.Hazards = true;
  o.Length = std::chrono::seconds(6);
  o.Programs = FLAGS_programs;
  o.Folder = FLAGS_folder + "/platform";
  standins::SoakReport r = standins::runSoak(o);
  std::cout << "platform, with requests that crash engines and a limit:";
  for (const auto &[outcome, n] : r.Outcomes)
    std::cout << " " << n << " " << outcome;
  std::cout << "\n";
  for (const std::string &it : r.Violations)
    std::cout << "  WRONG " << it << "\n";
  return r.Violations.empty();
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("Sends the example requests to small deployments.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Warning, .Process = "demo"});
  std::vector<DemoDeployment> deployments = {
      {"nilebridge",
       "scribe-llm",
       "filing-api",
       {"eg-north-1", "eg-north-2", "eg-north-3"}},
      {"trinacria",
       "concierge-llm",
       "ticket-desk",
       {"catania", "palermo", "siracusa"}}};
  int total = 0;
  int failed = 0;
  bool isPlatformSound = false;
  try {
    for (const DemoDeployment &it : deployments)
      failed += runDeployment(it, total);
    isPlatformSound = runPlatform();
  } catch (const std::exception &e) {
    std::cerr << e.what() << "\n";
    return 1;
  }
  std::cout << "demo: " << total - failed << " of " << total
            << " responses are complete and correct\n";
  return failed == 0 && isPlatformSound ? 0 : 1;
}
