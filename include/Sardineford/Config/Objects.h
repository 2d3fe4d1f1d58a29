#pragma once

#include "Sardineford/Common/Error.h"
#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sardineford::config {

/// A set of weights that a model serves.
struct VersionSpec {
  std::string Weights;
  /// Version that this one follows; may be empty.
  std::string Replaces;
};

/// A fine-tuned addition to a version.
struct AdapterSpec {
  std::string BaseVersion;
};

/// What callers name in a request.
struct ModelSpec {
  std::string Version;
  std::string Pool;
  std::vector<std::string> Adapters;
  int64_t MaxPromptTokens = 32'000;
  int64_t MaxOutputTokens = 4'000;
};

enum class RolePolicy {
  /// Changes a role when the goodput gained exceeds its cost.
  Goodput,
  /// Never changes a role.
  Fixed,
  /// Changes a role when utilisation leaves a band.
  Threshold,
};

/// Engines that serve models together.
struct EnginePoolSpec {
  int64_t Engines = 1;
  /// Engines refuse an order with an old fencing number.
  bool ChecksFencing = true;
  RolePolicy Policy = RolePolicy::Goodput;
  /// Engines in the prefill role under the fixed policy and at the start.
  int64_t InitialPrefill = 1;
  int64_t MinPrefill = 1;
  int64_t MinDecode = 1;
  /// Weight of one role change against the answers that it gains.
  double ChangeWeight = 1;
  /// Engines to empty and keep empty.
  std::vector<std::string> Drain;
  /// Engines that are to have a role, whatever the policy decides.
  std::vector<std::string> PinnedPrefill;
  std::vector<std::string> PinnedDecode;
  /// Prompt tokens that one engine in the prefill role handles a second.
  double PrefillTokensPerSecond = 10'000;
  /// Share of that speed which an engine in the decode role has.
  double PrefillShareInDecode = 0.6;
  /// Time of one decode step: a base and a part for each running sequence.
  double DecodeStepMs = 20;
  double DecodeStepPerSequenceMs = 1;
  /// Sequences that one engine in the decode role runs together.
  int64_t MaxBatch = 32;
  /// Sequences that one engine in the prefill role runs together.
  int64_t MaxBatchPrefill = 4;
  /// Time that a role change takes an engine away.
  Milliseconds RoleChangeTime{4'000};
};

/// Calls of a plain service that must run at most once.
struct NeverRepeatRule {
  std::string Method;
  std::string PathPrefix;
};

/// A plain service.
struct ServiceSpec {
  std::vector<NeverRepeatRule> NeverRepeat;
  Milliseconds Timeout{10'000};
};

/// A caller's account.
struct WorkspaceSpec {
  std::vector<std::string> Models;
  std::vector<std::string> Services;
  /// Share of a pool that the workspace has when the pool is short, 0 to 1.
  double Share = 0.1;
  Milliseconds Deadline{30'000};
};

using ObjectSpec = std::variant<VersionSpec, AdapterSpec, ModelSpec, EnginePoolSpec,
                          ServiceSpec, WorkspaceSpec>;

/// One object as operators write it.
struct ConfigObject {
  std::string Kind;
  std::string Name;
  ObjectSpec Spec;
};

/// A fault of one object, with the field and the remedy.
struct ValidationError {
  std::string Object;
  std::string Field;
  std::string Message;
  std::string Remedy;
};

std::string toString(const ValidationError &f);

/// Kinds that make up the configuration.
const std::vector<std::string> &objectKinds();

/// An object as text, before it is understood.
struct RawObject {
  std::string Kind;
  std::string Name;
  /// JSON text {"kind", "name", "spec"}.
  std::string Text;
};

/// Reads an object from JSON text. Errors are added to the list; the object
/// then holds what could be read.
ConfigObject parseObject(const RawObject &raw, std::vector<ValidationError> &errors);

/// Splits a file that holds one object or an array of them. Throws
/// Error(BadConfiguration).
std::vector<RawObject> splitObjects(const std::string &text,
                                    const std::string &file);

/// All objects of one generation, by name.
struct Catalog {
  uint64_t Generation = 0;
  std::map<std::string, VersionSpec> Versions;
  std::map<std::string, AdapterSpec> Adapters;
  std::map<std::string, ModelSpec> Models;
  std::map<std::string, EnginePoolSpec> Pools;
  std::map<std::string, ServiceSpec> Services;
  std::map<std::string, WorkspaceSpec> Workspaces;
};

/// Adds an object to a catalog, replacing one of its kind and name.
void addObject(Catalog &c, ConfigObject o);
/// Removes an object from a catalog.
void removeObject(Catalog &c, const std::string &kind, const std::string &name);

/// Checks a whole set: references resolve, no cycles, capacity is enough.
std::vector<ValidationError> checkCatalog(const Catalog &c);

/// Reads and checks a whole set.
struct ParsedCatalog {
  Catalog Objects;
  std::vector<ValidationError> Errors;
};

ParsedCatalog parseCatalog(const std::vector<RawObject> &raw);

} // namespace sardineford::config
