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

/// A version of a model: one set of weights.
struct VersionSpec {
  std::string Weights;
  /// Version that this version replaces; may be empty.
  std::string Replaces;
};

/// A fine-tuned adapter for a version.
struct AdapterSpec {
  std::string BaseVersion;
};

/// A model that callers name in a request.
struct ModelSpec {
  std::string Version;
  std::string Pool;
  std::vector<std::string> Adapters;
  int64_t MaxPromptTokens = 32'000;
  int64_t MaxOutputTokens = 4'000;
};

/// Policy that decides on role changes of engines.
enum class RolePolicy {
  /// Changes a role if the gain in goodput exceeds the cost of the change.
  Goodput,
  /// Never changes a role.
  Fixed,
  /// Changes a role if the utilization leaves a band.
  Threshold,
};

/// A pool of engines that serve the same models.
struct EnginePoolSpec {
  int64_t Engines = 1;
  /// Engines reject an order with an old fencing number.
  bool ChecksFencing = true;
  RolePolicy Policy = RolePolicy::Goodput;
  /// Number of engines in the prefill role at the start, and at any time under
  /// the fixed policy.
  int64_t InitialPrefill = 1;
  int64_t MinPrefill = 1;
  int64_t MinDecode = 1;
  /// Fixed cost of a role change, in requests. The goodput policy adds this
  /// cost to the requests lost during the change, and compares the sum with the
  /// requests gained.
  double ChangeWeight = 1;
  /// Engines to drain and to keep drained.
  std::vector<std::string> Drain;
  /// Engines with a fixed role, regardless of the policy.
  std::vector<std::string> PinnedPrefill;
  std::vector<std::string> PinnedDecode;
  /// Prefill speed of one engine in the prefill role, in prompt tokens per
  /// second.
  double PrefillTokensPerSecond = 10'000;
  /// Prefill speed of an engine in the decode role, as a ratio of
  /// PrefillTokensPerSecond.
  double PrefillShareInDecode = 0.6;
  /// Duration of one decode step: a base and an increment for each running
  /// sequence.
  double DecodeStepMs = 20;
  double DecodeStepPerSequenceMs = 1;
  /// Maximum batch size of an engine in the decode role, in sequences.
  int64_t MaxBatch = 32;
  /// Maximum batch size of an engine in the prefill role, in sequences.
  int64_t MaxBatchPrefill = 4;
  /// Time for which an engine is unavailable during a role change.
  Milliseconds RoleChangeTime{4'000};
};

/// Matches requests to a plain service that must be executed at most once.
struct NeverRepeatRule {
  std::string Method;
  std::string PathPrefix;
};

/// A plain service, which serves no models.
struct ServiceSpec {
  std::vector<NeverRepeatRule> NeverRepeat;
  Milliseconds Timeout{10'000};
};

/// A workspace: the account of a caller.
struct WorkspaceSpec {
  std::vector<std::string> Models;
  std::vector<std::string> Services;
  /// Share of a pool's capacity for the workspace when the demand exceeds the
  /// capacity, 0 to 1.
  double Share = 0.1;
  Milliseconds Deadline{30'000};
};

using ObjectSpec = std::variant<VersionSpec, AdapterSpec, ModelSpec,
                                EnginePoolSpec, ServiceSpec, WorkspaceSpec>;

/// One configuration object, written by an operator.
struct ConfigObject {
  std::string Kind;
  std::string Name;
  ObjectSpec Spec;
};

/// An error in one object, with the field concerned and the remedy.
struct ValidationError {
  std::string Object;
  std::string Field;
  std::string Message;
  std::string Remedy;
};

std::string toString(const ValidationError &error);

/// Returns the kinds of configuration objects.
const std::vector<std::string> &objectKinds();

/// A configuration object as text, before parsing.
struct RawObject {
  std::string Kind;
  std::string Name;
  /// JSON text {"kind", "name", "spec"}.
  std::string Text;
};

/// Parses an object from JSON text and appends errors to the list. In case of
/// errors, the returned object holds the fields that could be read.
ConfigObject parseObject(const RawObject &raw,
                         std::vector<ValidationError> &errors);

/// Splits the text of a file that holds one object or an array of objects.
/// Throws Error(BadConfiguration).
std::vector<RawObject> splitObjects(const std::string &text,
                                    const std::string &file);

/// All objects of one generation, by kind and name.
struct Catalog {
  uint64_t Generation = 0;
  std::map<std::string, VersionSpec> Versions;
  std::map<std::string, AdapterSpec> Adapters;
  std::map<std::string, ModelSpec> Models;
  std::map<std::string, EnginePoolSpec> Pools;
  std::map<std::string, ServiceSpec> Services;
  std::map<std::string, WorkspaceSpec> Workspaces;
};

/// Adds an object to the catalog. Replaces an object of the same kind and name.
void addObject(Catalog &catalog, ConfigObject object);
void removeObject(Catalog &catalog, const std::string &kind,
                  const std::string &name);

/// Validates the catalog as a whole: references resolve, versions do not
/// replace each other in a cycle, and capacity suffices.
std::vector<ValidationError> checkCatalog(const Catalog &catalog);

/// A catalog, and the errors in its objects and in the catalog as a whole.
struct ParsedCatalog {
  Catalog Objects;
  std::vector<ValidationError> Errors;
};

/// Parses the objects and validates the resulting catalog.
ParsedCatalog parseCatalog(const std::vector<RawObject> &raw);

} // namespace sardineford::config
