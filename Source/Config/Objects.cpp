#include "Sardineford/Config/Objects.h"

#include "Config/FieldReader.h"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace sardineford::config {

namespace json = boost::json;

namespace {

constexpr int64_t MaxDeadlineMs = 600'000;
constexpr int64_t MaxTokens = 1'000'000;
constexpr int64_t MaxEngines = 2'000;
constexpr double MaxRate = 1e9;
constexpr double MaxStepMs = 10'000;
constexpr int64_t MaxBatchLimit = 4'096;

VersionSpec readVersion(FieldReader &r) {
  VersionSpec s;
  r.text("weights", s.Weights, true);
  r.text("replaces", s.Replaces, false);
  return s;
}

AdapterSpec readAdapter(FieldReader &r) {
  AdapterSpec s;
  r.text("base_version", s.BaseVersion, true);
  return s;
}

ModelSpec readModel(FieldReader &r) {
  ModelSpec s;
  r.text("version", s.Version, true);
  r.text("pool", s.Pool, true);
  r.names("adapters", s.Adapters);
  r.integer("max_prompt_tokens", s.MaxPromptTokens, 1, MaxTokens);
  r.integer("max_output_tokens", s.MaxOutputTokens, 1, MaxTokens);
  return s;
}

RolePolicy readPolicy(FieldReader &r) {
  std::string name = "goodput";
  r.text("role_policy", name, false);
  if (name == "fixed")
    return RolePolicy::Fixed;
  if (name == "threshold")
    return RolePolicy::Threshold;
  if (name != "goodput")
    r.fault("role_policy", "'" + name + "' is not a policy",
            "give goodput, fixed or threshold");
  return RolePolicy::Goodput;
}

EnginePoolSpec readPool(FieldReader &r) {
  EnginePoolSpec s;
  r.integer("engines", s.Engines, 1, MaxEngines);
  r.boolean("checks_fencing", s.ChecksFencing);
  s.Policy = readPolicy(r);
  r.integer("initial_prefill", s.InitialPrefill, 0, MaxEngines);
  r.integer("min_prefill", s.MinPrefill, 0, MaxEngines);
  r.integer("min_decode", s.MinDecode, 0, MaxEngines);
  r.number("change_weight", s.ChangeWeight, 0, 1000);
  r.names("drain", s.Drain);
  r.names("pinned_prefill", s.PinnedPrefill);
  r.names("pinned_decode", s.PinnedDecode);
  r.number("prefill_tokens_per_second", s.PrefillTokensPerSecond, 1, MaxRate);
  r.number("prefill_share_in_decode", s.PrefillShareInDecode, 0, 1);
  r.number("decode_step_ms", s.DecodeStepMs, 0.001, MaxStepMs);
  r.number("decode_step_per_sequence_ms", s.DecodeStepPerSequenceMs, 0,
           MaxStepMs);
  r.integer("max_batch", s.MaxBatch, 1, MaxBatchLimit);
  r.integer("max_batch_prefill", s.MaxBatchPrefill, 1, MaxBatchLimit);
  r.milliseconds("role_change_ms", s.RoleChangeTime, 1, MaxDeadlineMs);
  return s;
}

ServiceSpec readService(FieldReader &r) {
  ServiceSpec s;
  std::vector<std::string> rules;
  r.names("never_repeat", rules);
  for (const std::string &it : rules) {
    size_t space = it.find(' ');
    if (space == std::string::npos)
      r.fault("never_repeat", "'" + it + "' is not a method and a path",
              "write it as \"POST /path\"");
    else
      s.NeverRepeat.push_back({it.substr(0, space), it.substr(space + 1)});
  }
  r.milliseconds("timeout_ms", s.Timeout, 1, MaxDeadlineMs);
  return s;
}

WorkspaceSpec readWorkspace(FieldReader &r) {
  WorkspaceSpec s;
  r.names("models", s.Models);
  r.names("services", s.Services);
  r.number("share", s.Share, 0, 1);
  r.milliseconds("deadline_ms", s.Deadline, 1, MaxDeadlineMs);
  return s;
}

ObjectSpec readSpec(const std::string &kind, FieldReader &r) {
  if (kind == "Version")
    return readVersion(r);
  if (kind == "Adapter")
    return readAdapter(r);
  if (kind == "Model")
    return readModel(r);
  if (kind == "EnginePool")
    return readPool(r);
  if (kind == "Service")
    return readService(r);
  return readWorkspace(r);
}

} // namespace

std::string toString(const ValidationError &f) {
  return fmt::format("{}: {}: {}; {}", f.Object, f.Field, f.Message, f.Remedy);
}

const std::vector<std::string> &objectKinds() {
  static const std::vector<std::string> kinds = {
      "Version", "Adapter", "EnginePool", "Model", "Service", "Workspace"};
  return kinds;
}

ConfigObject parseObject(const RawObject &raw, std::vector<ValidationError> &errors) {
  ConfigObject out{raw.Kind, raw.Name, WorkspaceSpec{}};
  std::string id = raw.Kind + "/" + raw.Name;
  boost::system::error_code ec;
  json::value root = json::parse(raw.Text, ec);
  const json::value *spec =
      !ec && root.is_object() ? root.as_object().if_contains("spec") : nullptr;
  if (!spec || !spec->is_object()) {
    errors.push_back({id, "spec", "is missing or not an object",
                      "write {\"kind\", \"name\", \"spec\": {...}}"});
    return out;
  }
  FieldReader reader(spec->as_object(), id, errors);
  out.Spec = readSpec(raw.Kind, reader);
  reader.rejectOthers();
  return out;
}

std::vector<RawObject> splitObjects(const std::string &text,
                                    const std::string &file) {
  boost::system::error_code ec;
  json::value root = json::parse(text, ec);
  if (ec)
    throw Error(ErrorKind::BadConfiguration,
                file + ": is not JSON: " + ec.message(),
                "write one object or a list of objects");
  json::array all = root.is_array() ? root.as_array() : json::array({root});
  std::vector<RawObject> out;
  const std::vector<std::string> &kinds = objectKinds();
  for (const json::value &it : all) {
    const json::value *kind =
        it.is_object() ? it.as_object().if_contains("kind") : nullptr;
    const json::value *name =
        it.is_object() ? it.as_object().if_contains("name") : nullptr;
    bool known = kind && kind->is_string() && name && name->is_string() &&
                 std::find(kinds.begin(), kinds.end(),
                           std::string(kind->as_string())) != kinds.end();
    if (!known)
      throw Error(ErrorKind::BadConfiguration,
                  file + ": an object has no known kind or no name",
                  "give a kind of Version, Adapter, EnginePool, Model, "
                  "Service or Workspace, and a name");
    out.push_back({std::string(kind->as_string()),
                   std::string(name->as_string()), json::serialize(it)});
  }
  return out;
}

} // namespace sardineford::config
