#include "StandIns/Bench/MixBench.h"

#include "Sardineford/Roles/RolePolicy.h"
#include "StandIns/Deployment/Objects.h"
#include "StandIns/Engine/Text.h"

#include <algorithm>
#include <filesystem>
#include <thread>

namespace sardineford::standins {

using timeline::EventKind;

namespace {

/// Kind of request of the scenario. Lengths are in tokens. Long prompts need
/// almost only prefill time, long outputs almost only decode time; questions
/// are short.
struct KindShape {
  const char *Name;
  double Prompt;
  double MaxTokens;
  Milliseconds Deadline;
};

constexpr KindShape LongPrompt{"case-file", 6'000, 60, Milliseconds(10'000)};
constexpr KindShape LongOutput{"draft", 500, 400, Milliseconds(30'000)};
constexpr KindShape Question{"question", 150, 40, Milliseconds(5'000)};
/// Weight of short questions among all requests.
constexpr double QuestionWeight = 0.3;
/// Completions have three quarters of max_tokens on average.
constexpr double OutputRatio = 0.75;
constexpr Milliseconds PhaseLength{30'000};
constexpr Milliseconds SettleDelay{700};

routing::EngineSpeeds baseSpeeds() { return {}; }

double decodeRate(const routing::EngineSpeeds &s) {
  auto batch = static_cast<double>(s.MaxBatch);
  return batch / routing::stepTime(s, batch).count();
}

/// Engine seconds that one request of a kind needs for prefill and decode.
struct EngineTime {
  double Prefill = 0;
  double Decode = 0;

  double sum() const { return Prefill + Decode; }
};

EngineTime engineTimeOf(const KindShape &k) {
  routing::EngineSpeeds s = baseSpeeds();
  return {k.Prompt / s.PrefillTokensPerSecond,
          k.MaxTokens * OutputRatio / decodeRate(s)};
}

load::RequestKind makeKind(const KindShape &k, const std::string &workspace,
                           double timeScale) {
  load::RequestKind out;
  out.Name = k.Name;
  out.Workspace = workspace;
  out.PromptTokens = k.Prompt;
  out.MaxTokens = k.MaxTokens;
  auto ms = static_cast<double>(k.Deadline.count()) / timeScale;
  out.Deadline = Milliseconds(static_cast<int64_t>(ms));
  return out;
}

/// Chooses the weights of the kinds so that prefill needs the given ratio of
/// the engine time, and the request rate for the given utilization.
load::Phase makePhase(double prefillRatio, double utilization, int engines,
                      double timeScale) {
  EngineTime prompt = engineTimeOf(LongPrompt);
  EngineTime output = engineTimeOf(LongOutput);
  EngineTime question = engineTimeOf(Question);
  // Solves prefill time = prefillRatio * total time for the weight w of long
  // prompts.
  auto excess = [&](const EngineTime &k) {
    return k.Prefill - prefillRatio * k.sum();
  };
  double rest = 1 - QuestionWeight;
  double a = excess(prompt) - excess(output);
  double b = -QuestionWeight * excess(question) - rest * excess(output);
  double w = std::clamp(b / a, 0.0, rest);
  double perRequest = w * prompt.sum() + (rest - w) * output.sum() +
                      QuestionWeight * question.sum();
  load::Phase p;
  auto ms = static_cast<double>(PhaseLength.count()) / timeScale;
  p.Length = Milliseconds(static_cast<int64_t>(ms));
  p.RequestsPerSecond = utilization * engines / perRequest * timeScale;
  p.Mix = {{LongPrompt.Name, w},
           {LongOutput.Name, rest - w},
           {Question.Name, QuestionWeight}};
  return p;
}

roles::Demand demandOf(const load::Scenario &s, const load::Phase &p) {
  roles::Demand d;
  double weights = 0;
  for (const load::KindWeight &it : p.Mix)
    weights += it.Weight;
  for (const load::KindWeight &it : p.Mix)
    for (const load::RequestKind &k : s.Kinds) {
      if (k.Name != it.Kind)
        continue;
      double rate = p.RequestsPerSecond * it.Weight / weights;
      d.Requests += rate;
      d.PromptTokens += rate * k.PromptTokens;
      d.OutputTokens += rate * k.MaxTokens * OutputRatio;
    }
  return d;
}

routing::EngineSpeeds scaledSpeeds(double timeScale) {
  routing::EngineSpeeds s = baseSpeeds();
  s.PrefillTokensPerSecond *= timeScale;
  s.DecodeStep /= timeScale;
  s.DecodeStepPerSequence /= timeScale;
  return s;
}

/// Returns the served ratio for a number of prefill engines, without the
/// reserve of the policy.
double servedRatioAt(int prefill, int engines, const roles::Demand &d,
                     const routing::EngineSpeeds &s) {
  routing::EngineSpeeds speeds = s;
  return roles::servedRatio(
      {static_cast<double>(prefill), static_cast<double>(engines - prefill)}, d,
      speeds);
}

std::map<std::string, std::string> mixSettings(double scale) {
  auto ms = [&](double n) {
    return std::to_string(static_cast<int64_t>(std::max(1.0, n / scale)));
  };
  return {{"plan.poll_ms", ms(200)},
          {"plan.drain_mark_ms", ms(400)},
          {"roles.decide_ms", ms(500)},
          {"roles.horizon_ms", ms(15'000)},
          {"roles.expected_drain_ms", ms(4'000)},
          {"roles.min_between_changes_ms", ms(4'000)},
          {"roles.fast_estimate_ms", ms(3'000)},
          {"roles.slow_estimate_ms", ms(30'000)},
          {"entry.view_interval_ms", ms(250)},
          {"entry.report_lag_ms", ms(200)},
          {"shutdown.balancer_wait_ms", "100"},
          {"log.level", "\"debug\""}};
}

uint64_t countRoleChanges(const std::string &folder) {
  uint64_t n = 0;
  for (const HistoryEvent &e : readHistories(folder))
    n += e.is(EventKind::RoleChanged) ? 1 : 0;
  return n;
}

} // namespace

load::Scenario swingScenario(const ExampleDeployment &setup,
                             const std::string &name,
                             const std::vector<double> &prefillRatios,
                             double utilization, int engines, double timeScale,
                             bool step) {
  load::Scenario s;
  s.Name = name;
  s.Model = setup.Model;
  for (const KindShape &it : {LongPrompt, LongOutput, Question})
    s.Kinds.push_back(makeKind(it, setup.Workspace, timeScale));
  for (double it : prefillRatios) {
    load::Phase p = makePhase(it, utilization, engines, timeScale);
    p.Step = step;
    s.Phases.push_back(std::move(p));
  }
  return s;
}

double offlineUpperBound(const load::Scenario &s, int engines,
                         double timeScale) {
  routing::EngineSpeeds speeds = scaledSpeeds(timeScale);
  double served = 0;
  double offered = 0;
  for (const load::Phase &p : s.Phases) {
    roles::Demand d = demandOf(s, p);
    double best = 0;
    for (int n = 1; n < engines; ++n)
      best = std::max(best, servedRatioAt(n, engines, d, speeds));
    double weight = d.Requests * static_cast<double>(p.Length.count());
    served += best * weight;
    offered += weight;
  }
  return offered == 0 ? 0 : served / offered;
}

int bestFixedPrefill(const load::Scenario &s, int engines, double timeScale) {
  routing::EngineSpeeds speeds = scaledSpeeds(timeScale);
  roles::Demand average;
  for (const load::Phase &p : s.Phases) {
    roles::Demand d = demandOf(s, p);
    auto n = static_cast<double>(s.Phases.size());
    average.Requests += d.Requests / n;
    average.PromptTokens += d.PromptTokens / n;
    average.OutputTokens += d.OutputTokens / n;
  }
  // Doubled, so that no number of prefill engines serves all requests and the
  // served ratios differ.
  average.PromptTokens *= 2;
  average.OutputTokens *= 2;
  int best = 1;
  for (int n = 2; n < engines; ++n)
    if (servedRatioAt(n, engines, average, speeds) >
        servedRatioAt(best, engines, average, speeds))
      best = n;
  return best;
}

MixRunResult runMix(const MixRunOptions &options) {
  MixRunResult out;
  std::filesystem::create_directories(options.Folder);
  writeScaledObjects(
      options.Examples + "/" + options.Setup.Name + "/objects.json",
      options.Folder + "/objects.json", options.TimeScale,
      {{"role_policy", "\"" + options.Policy + "\""},
       {"engines", std::to_string(options.Engines)},
       {"initial_prefill", std::to_string(options.InitialPrefill)}});
  DeploymentOptions d;
  d.Programs = options.Programs;
  d.Folder = options.Folder + "/run";
  d.ObjectsFile = options.Folder + "/objects.json";
  d.FailureDomains = options.Setup.FailureDomains;
  d.Entries = 3;
  d.Controllers = 2;
  d.Engines = {{options.Setup.Pool, options.Engines}};
  d.Services = {{options.Setup.Service, 1}};
  d.InitialPrefill = options.InitialPrefill;
  d.TimeScale = options.TimeScale;
  d.ReportLag = Milliseconds(static_cast<int64_t>(200 / options.TimeScale));
  d.Settings = mixSettings(options.TimeScale);
  try {
    Deployment system(d);
    system.start();
    std::this_thread::sleep_for(SettleDelay);
    load::RunOptions run;
    run.Seed = options.Seed;
    for (const std::string &it : system.entries())
      run.Entries.push_back(system.httpEndpoint(it));
    run.IsCorrect = [](const load::CompletionCall &c, const std::string &text) {
      return text == expectedCompletion(c.Model, c.Prompt, c.MaxTokens);
    };
    std::vector<load::RequestRecord> records =
        load::runScenario(options.Scenario, run);
    out.All = load::summarize(records);
    out.Kinds = load::summarizeKinds(options.Scenario, records);
    system.stop();
    out.RoleChanges = countRoleChanges(d.Folder);
  } catch (const std::exception &e) {
    out.Failure = e.what();
  }
  return out;
}

} // namespace sardineford::standins
