#include "Sardineford/Config/Objects.h"

#include "Config/FieldReader.h"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace sardineford::config {

namespace json = boost::json;

namespace {

constexpr int64_t MaxDurationMs = 600'000;
constexpr int64_t MaxTokens = 1'000'000;
constexpr int64_t MaxEngines = 2'000;
constexpr double MaxTokensPerSecond = 1e9;
constexpr double MaxDecodeStepMs = 10'000;
constexpr int64_t MaxBatchSize = 4'096;

VersionSpec readVersion(FieldReader &reader) {
  VersionSpec spec;
  reader.text("weights", spec.Weights, true);
  reader.text("replaces", spec.Replaces, false);
  return spec;
}

AdapterSpec readAdapter(FieldReader &reader) {
  AdapterSpec spec;
  reader.text("base_version", spec.BaseVersion, true);
  return spec;
}

ModelSpec readModel(FieldReader &reader) {
  ModelSpec spec;
  reader.text("version", spec.Version, true);
  reader.text("pool", spec.Pool, true);
  reader.names("adapters", spec.Adapters);
  reader.integer("max_prompt_tokens", spec.MaxPromptTokens, 1, MaxTokens);
  reader.integer("max_output_tokens", spec.MaxOutputTokens, 1, MaxTokens);
  return spec;
}

RolePolicy readPolicy(FieldReader &reader) {
  std::string name = "goodput";
  reader.text("role_policy", name, false);
  if (name == "fixed")
    return RolePolicy::Fixed;
  if (name == "threshold")
    return RolePolicy::Threshold;
  if (name != "goodput")
    reader.addError("role_policy", "'" + name + "' is not a role policy",
                    "give goodput, fixed or threshold");
  return RolePolicy::Goodput;
}

EnginePoolSpec readPool(FieldReader &reader) {
  EnginePoolSpec spec;
  reader.integer("engines", spec.Engines, 1, MaxEngines);
  reader.boolean("checks_fencing", spec.ChecksFencing);
  spec.Policy = readPolicy(reader);
  reader.integer("initial_prefill", spec.InitialPrefill, 0, MaxEngines);
  reader.integer("min_prefill", spec.MinPrefill, 0, MaxEngines);
  reader.integer("min_decode", spec.MinDecode, 0, MaxEngines);
  reader.number("change_weight", spec.ChangeWeight, 0, 1000);
  reader.names("drain", spec.Drain);
  reader.names("pinned_prefill", spec.PinnedPrefill);
  reader.names("pinned_decode", spec.PinnedDecode);
  reader.number("prefill_tokens_per_second", spec.PrefillTokensPerSecond, 1,
                MaxTokensPerSecond);
  reader.number("prefill_share_in_decode", spec.PrefillShareInDecode, 0, 1);
  reader.number("decode_step_ms", spec.DecodeStepMs, 0.001, MaxDecodeStepMs);
  reader.number("decode_step_per_sequence_ms", spec.DecodeStepPerSequenceMs, 0,
                MaxDecodeStepMs);
  reader.integer("max_batch", spec.MaxBatch, 1, MaxBatchSize);
  reader.integer("max_batch_prefill", spec.MaxBatchPrefill, 1, MaxBatchSize);
  reader.milliseconds("role_change_ms", spec.RoleChangeTime, 1, MaxDurationMs);
  return spec;
}

ServiceSpec readService(FieldReader &reader) {
  ServiceSpec spec;
  std::vector<std::string> rules;
  reader.names("never_repeat", rules);
  for (const std::string &it : rules) {
    size_t space = it.find(' ');
    if (space == std::string::npos)
      reader.addError("never_repeat",
                      "'" + it + "' does not consist of a method and a path",
                      "give a rule such as \"POST /path\"");
    else
      spec.NeverRepeat.push_back({it.substr(0, space), it.substr(space + 1)});
  }
  reader.milliseconds("timeout_ms", spec.Timeout, 1, MaxDurationMs);
  return spec;
}

WorkspaceSpec readWorkspace(FieldReader &reader) {
  WorkspaceSpec spec;
  reader.names("models", spec.Models);
  reader.names("services", spec.Services);
  reader.number("share", spec.Share, 0, 1);
  reader.milliseconds("deadline_ms", spec.Deadline, 1, MaxDurationMs);
  return spec;
}

ObjectSpec readSpec(const std::string &kind, FieldReader &reader) {
  if (kind == "Version")
    return readVersion(reader);
  if (kind == "Adapter")
    return readAdapter(reader);
  if (kind == "Model")
    return readModel(reader);
  if (kind == "EnginePool")
    return readPool(reader);
  if (kind == "Service")
    return readService(reader);
  return readWorkspace(reader);
}

} // namespace

std::string toString(const ValidationError &error) {
  return fmt::format("{}: {}: {}; {}", error.Object, error.Field, error.Message,
                     error.Remedy);
}

const std::vector<std::string> &objectKinds() {
  static const std::vector<std::string> kinds = {
      "Version", "Adapter", "EnginePool", "Model", "Service", "Workspace"};
  return kinds;
}

ConfigObject parseObject(const RawObject &raw,
                         std::vector<ValidationError> &errors) {
  ConfigObject out{raw.Kind, raw.Name, WorkspaceSpec{}};
  std::string object = raw.Kind + "/" + raw.Name;
  boost::system::error_code ec;
  json::value root = json::parse(raw.Text, ec);
  const json::value *spec =
      !ec && root.is_object() ? root.as_object().if_contains("spec") : nullptr;
  if (!spec || !spec->is_object()) {
    errors.push_back({object, "spec", "is missing or not an object",
                      "write {\"kind\", \"name\", \"spec\": {...}}"});
    return out;
  }
  FieldReader reader(spec->as_object(), object, errors);
  out.Spec = readSpec(raw.Kind, reader);
  reader.rejectUnknownFields();
  return out;
}

std::vector<RawObject> splitObjects(const std::string &text,
                                    const std::string &file) {
  boost::system::error_code ec;
  json::value root = json::parse(text, ec);
  if (ec)
    throw Error(ErrorKind::BadConfiguration,
                file + ": invalid JSON: " + ec.message(),
                "write one object or a list of objects");
  json::array all = root.is_array() ? root.as_array() : json::array({root});
  std::vector<RawObject> out;
  const std::vector<std::string> &kinds = objectKinds();
  for (const json::value &it : all) {
    const json::value *kind =
        it.is_object() ? it.as_object().if_contains("kind") : nullptr;
    const json::value *name =
        it.is_object() ? it.as_object().if_contains("name") : nullptr;
    bool isValid = kind && kind->is_string() && name && name->is_string() &&
                   std::find(kinds.begin(), kinds.end(),
                             std::string(kind->as_string())) != kinds.end();
    if (!isValid)
      throw Error(ErrorKind::BadConfiguration,
                  file + ": an object lacks a known kind or a name",
                  "give a kind of Version, Adapter, EnginePool, Model, "
                  "Service or Workspace, and a name");
    out.push_back({std::string(kind->as_string()),
                   std::string(name->as_string()), json::serialize(it)});
  }
  return out;
}

} // namespace sardineford::config
