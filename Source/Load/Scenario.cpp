#include "Load/Scenario.h"

#include "Sardineford/Common/Error.h"

#include <boost/json.hpp>

#include <cmath>
#include <map>
#include <random>

namespace sardineford::load {

namespace json = boost::json;

namespace {

/// Relative deviation of a length from its average, at most.
constexpr double LengthSpread = 0.5;

double numberOf(const json::object &o, const char *name, double defaultValue) {
  const json::value *v = o.if_contains(name);
  return v ? v->to_number<double>() : defaultValue;
}

std::string textOf(const json::object &o, const char *name) {
  return json::value_to<std::string>(o.at(name));
}

Milliseconds timeOf(const json::object &o, const char *name,
                    double defaultValue) {
  return Milliseconds(static_cast<int64_t>(numberOf(o, name, defaultValue)));
}

RequestKind parseKind(const json::object &o) {
  RequestKind k;
  k.Name = textOf(o, "name");
  k.Workspace = textOf(o, "workspace");
  k.PromptTokens = numberOf(o, "prompt_tokens", k.PromptTokens);
  k.MaxTokens = numberOf(o, "max_tokens", k.MaxTokens);
  k.Deadline = timeOf(o, "deadline_ms", 10'000);
  k.Prefixes = static_cast<int>(numberOf(o, "prefixes", 0));
  return k;
}

Phase parsePhase(const json::object &o) {
  Phase p;
  p.Length = timeOf(o, "length_ms", 10'000);
  p.RequestsPerSecond = numberOf(o, "requests_per_second", 1);
  if (const json::value *step = o.if_contains("step"))
    p.Step = step->as_bool();
  for (const auto &it : o.at("mix").as_object())
    p.Mix.push_back({std::string(it.key()), it.value().to_number<double>()});
  return p;
}

/// Request rate and weights of the kinds at one time.
struct Traffic {
  double Rate = 0;
  std::vector<double> Weights;
};

Traffic trafficOf(const Scenario &s, const Phase &p) {
  Traffic traffic;
  traffic.Rate = p.RequestsPerSecond;
  traffic.Weights.resize(s.Kinds.size());
  for (size_t i = 0; i < s.Kinds.size(); ++i)
    for (const KindWeight &it : p.Mix)
      if (it.Kind == s.Kinds[i].Name)
        traffic.Weights[i] = it.Weight;
  return traffic;
}

Traffic interpolate(const Traffic &a, const Traffic &b, double ratio) {
  Traffic traffic;
  traffic.Rate = a.Rate + (b.Rate - a.Rate) * ratio;
  for (size_t i = 0; i < a.Weights.size(); ++i)
    traffic.Weights.push_back(a.Weights[i] +
                              (b.Weights[i] - a.Weights[i]) * ratio);
  return traffic;
}

Traffic trafficAt(const Scenario &s, double ms) {
  double start = 0;
  for (size_t i = 0; i < s.Phases.size(); ++i) {
    const Phase &p = s.Phases[i];
    auto length = static_cast<double>(p.Length.count());
    if (ms < start + length || i + 1 == s.Phases.size()) {
      Traffic target = trafficOf(s, p);
      if (p.Step || i == 0)
        return target;
      return interpolate(trafficOf(s, s.Phases[i - 1]), target,
                         (ms - start) / length);
    }
    start += length;
  }
  return {};
}

uint64_t randomLength(double average, std::mt19937_64 &random) {
  std::uniform_real_distribution<double> factor(1 - LengthSpread,
                                                1 + LengthSpread);
  return static_cast<uint64_t>(std::max(1.0, average * factor(random)));
}

} // namespace

Scenario parseScenario(const std::string &text, const std::string &file) {
  try {
    json::value root = json::parse(text);
    const json::object &o = root.as_object();
    Scenario s;
    s.Name = textOf(o, "name");
    s.Model = textOf(o, "model");
    for (const json::value &it : o.at("kinds").as_array())
      s.Kinds.push_back(parseKind(it.as_object()));
    for (const json::value &it : o.at("phases").as_array())
      s.Phases.push_back(parsePhase(it.as_object()));
    if (const json::value *faults = o.if_contains("faults"))
      for (const json::value &it : faults->as_array())
        s.Faults.push_back({timeOf(it.as_object(), "at_ms", 0),
                            textOf(it.as_object(), "what"),
                            timeOf(it.as_object(), "length_ms", 0)});
    return s;
  } catch (const std::exception &e) {
    throw Error(ErrorKind::BadSettings, file + ": " + e.what(),
                "see docs/SCENARIOS.md for the format");
  }
}

Milliseconds totalLength(const Scenario &s) {
  Milliseconds sum{0};
  for (const Phase &it : s.Phases)
    sum += it.Length;
  return sum;
}

std::vector<PlannedRequest> planRequests(const Scenario &s, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<PlannedRequest> out;
  auto end = static_cast<double>(totalLength(s).count());
  for (double ms = 0; ms < end;) {
    Traffic traffic = trafficAt(s, ms);
    std::exponential_distribution<double> gap(traffic.Rate / 1000);
    ms += gap(random);
    std::discrete_distribution<size_t> kind(traffic.Weights.begin(),
                                            traffic.Weights.end());
    PlannedRequest r;
    r.At = Milliseconds(static_cast<int64_t>(ms));
    r.Kind = kind(random);
    const RequestKind &k = s.Kinds[r.Kind];
    r.PromptTokens = randomLength(k.PromptTokens, random);
    r.MaxTokens = randomLength(k.MaxTokens, random);
    if (k.Prefixes > 0)
      r.Prefix = std::uniform_int_distribution<int>(0, k.Prefixes - 1)(random);
    out.push_back(r);
  }
  return out;
}

} // namespace sardineford::load
