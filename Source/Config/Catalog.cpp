#include "Sardineford/Config/Objects.h"

#include <spdlog/fmt/fmt.h>

#include <set>

namespace sardineford::config {

namespace {

/// Allows for rounding errors in the sum of the shares.
constexpr double ShareSumTolerance = 1e-9;

template <class Map>
void checkReference(const Map &objects, const std::string &name,
                    const std::string &object, const char *field,
                    const char *kind, std::vector<ValidationError> &errors) {
  if (name.empty() || objects.contains(name))
    return;
  errors.push_back({object, field,
                    fmt::format("{} '{}' does not exist", kind, name),
                    fmt::format("create that {} or name another", kind)});
}

void checkVersions(const Catalog &catalog,
                   std::vector<ValidationError> &errors) {
  for (const auto &[name, spec] : catalog.Versions) {
    std::string object = "Version/" + name;
    checkReference(catalog.Versions, spec.Replaces, object, "replaces",
                   "Version", errors);
    std::set<std::string> seen = {name};
    std::string next = spec.Replaces;
    while (!next.empty() && catalog.Versions.contains(next)) {
      if (!seen.insert(next).second) {
        errors.push_back({object, "replaces",
                          "the versions replace each other in a cycle",
                          "remove 'replaces' from one of them"});
        break;
      }
      next = catalog.Versions.at(next).Replaces;
    }
  }
}

void checkModels(const Catalog &catalog, std::vector<ValidationError> &errors) {
  for (const auto &[name, spec] : catalog.Adapters)
    checkReference(catalog.Versions, spec.BaseVersion, "Adapter/" + name,
                   "base_version", "Version", errors);
  for (const auto &[name, spec] : catalog.Models) {
    std::string object = "Model/" + name;
    checkReference(catalog.Versions, spec.Version, object, "version", "Version",
                   errors);
    checkReference(catalog.Pools, spec.Pool, object, "pool", "EnginePool",
                   errors);
    for (const std::string &it : spec.Adapters) {
      checkReference(catalog.Adapters, it, object, "adapters", "Adapter",
                     errors);
      auto adapter = catalog.Adapters.find(it);
      if (adapter != catalog.Adapters.end() &&
          adapter->second.BaseVersion != spec.Version)
        errors.push_back({object, "adapters",
                          "adapter '" + it + "' belongs to another version",
                          "use an adapter of version '" + spec.Version + "'"});
    }
  }
}

void checkPools(const Catalog &catalog, std::vector<ValidationError> &errors) {
  for (const auto &[name, spec] : catalog.Pools) {
    std::string object = "EnginePool/" + name;
    auto available = spec.Engines - static_cast<int64_t>(spec.Drain.size());
    if (spec.MinPrefill + spec.MinDecode > available)
      errors.push_back(
          {object, "engines",
           fmt::format("{} engines that are not drained are too few for "
                       "min_prefill {} and min_decode {}",
                       available, spec.MinPrefill, spec.MinDecode),
           "add engines, drain fewer, or lower min_prefill or min_decode"});
    if (spec.InitialPrefill > spec.Engines - spec.MinDecode)
      errors.push_back({object, "initial_prefill",
                        "leaves fewer than min_decode engines for decode",
                        "lower initial_prefill"});
  }
}

void checkWorkspaces(const Catalog &catalog,
                     std::vector<ValidationError> &errors) {
  std::map<std::string, double> shares;
  for (const auto &[name, spec] : catalog.Workspaces) {
    std::string object = "Workspace/" + name;
    std::set<std::string> pools;
    for (const std::string &it : spec.Models) {
      checkReference(catalog.Models, it, object, "models", "Model", errors);
      auto model = catalog.Models.find(it);
      if (model != catalog.Models.end())
        pools.insert(model->second.Pool);
    }
    for (const std::string &it : spec.Services)
      checkReference(catalog.Services, it, object, "services", "Service",
                     errors);
    for (const std::string &it : pools)
      shares[it] += spec.Share;
  }
  for (const auto &[pool, sum] : shares)
    if (sum > 1 + ShareSumTolerance)
      errors.push_back(
          {"EnginePool/" + pool, "share",
           fmt::format("the workspaces' shares add up to {:.3f}", sum),
           "lower the shares of some workspaces until the sum is at most 1"});
}

/// Calls the function with the map that holds the catalog's objects of a kind.
template <class F>
void withObjectsOfKind(Catalog &catalog, const std::string &kind, F function) {
  if (kind == "Version")
    function(catalog.Versions);
  else if (kind == "Adapter")
    function(catalog.Adapters);
  else if (kind == "Model")
    function(catalog.Models);
  else if (kind == "EnginePool")
    function(catalog.Pools);
  else if (kind == "Service")
    function(catalog.Services);
  else if (kind == "Workspace")
    function(catalog.Workspaces);
}

} // namespace

void addObject(Catalog &catalog, ConfigObject object) {
  withObjectsOfKind(catalog, object.Kind, [&](auto &objects) {
    using Value = typename std::decay_t<decltype(objects)>::mapped_type;
    if (auto *spec = std::get_if<Value>(&object.Spec))
      objects[object.Name] = std::move(*spec);
  });
}

void removeObject(Catalog &catalog, const std::string &kind,
                  const std::string &name) {
  withObjectsOfKind(catalog, kind, [&](auto &objects) { objects.erase(name); });
}

std::vector<ValidationError> checkCatalog(const Catalog &catalog) {
  std::vector<ValidationError> errors;
  checkVersions(catalog, errors);
  checkModels(catalog, errors);
  checkPools(catalog, errors);
  checkWorkspaces(catalog, errors);
  return errors;
}

ParsedCatalog parseCatalog(const std::vector<RawObject> &raw) {
  ParsedCatalog out;
  for (const RawObject &it : raw)
    addObject(out.Objects, parseObject(it, out.Errors));
  std::vector<ValidationError> catalogErrors = checkCatalog(out.Objects);
  out.Errors.insert(out.Errors.end(), catalogErrors.begin(),
                    catalogErrors.end());
  return out;
}

} // namespace sardineford::config
