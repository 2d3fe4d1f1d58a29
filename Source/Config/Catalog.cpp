#include "Sardineford/Config/Objects.h"

#include <spdlog/fmt/fmt.h>

#include <set>

namespace sardineford::config {

namespace {

/// Rounding slack when shares are added up.
constexpr double ShareSlack = 1e-9;

template <class Map>
void requireName(const Map &objects, const std::string &name,
                 const std::string &object, const char *field, const char *kind,
                 std::vector<ValidationError> &errors) {
  if (name.empty() || objects.contains(name))
    return;
  errors.push_back({object, field,
                    fmt::format("{} '{}' does not exist", kind, name),
                    fmt::format("create that {} or name another", kind)});
}

void checkVersions(const Catalog &c, std::vector<ValidationError> &errors) {
  for (const auto &[name, spec] : c.Versions) {
    std::string object = "Version/" + name;
    requireName(c.Versions, spec.Replaces, object, "replaces", "Version",
                errors);
    std::set<std::string> seen = {name};
    std::string next = spec.Replaces;
    while (!next.empty() && c.Versions.contains(next)) {
      if (!seen.insert(next).second) {
        errors.push_back({object, "replaces",
                          "the versions replace each other in a cycle",
                          "remove 'replaces' from one of them"});
        break;
      }
      next = c.Versions.at(next).Replaces;
    }
  }
}

void checkModels(const Catalog &c, std::vector<ValidationError> &errors) {
  for (const auto &[name, spec] : c.Adapters)
    requireName(c.Versions, spec.BaseVersion, "Adapter/" + name, "base_version",
                "Version", errors);
  for (const auto &[name, spec] : c.Models) {
    std::string object = "Model/" + name;
    requireName(c.Versions, spec.Version, object, "version", "Version", errors);
    requireName(c.Pools, spec.Pool, object, "pool", "EnginePool", errors);
    for (const std::string &it : spec.Adapters) {
      requireName(c.Adapters, it, object, "adapters", "Adapter", errors);
      auto adapter = c.Adapters.find(it);
      if (adapter != c.Adapters.end() &&
          adapter->second.BaseVersion != spec.Version)
        errors.push_back({object, "adapters",
                          "adapter '" + it + "' is for another version",
                          "use an adapter of version '" + spec.Version + "'"});
    }
  }
}

void checkPools(const Catalog &c, std::vector<ValidationError> &errors) {
  for (const auto &[name, spec] : c.Pools) {
    std::string object = "EnginePool/" + name;
    auto left = spec.Engines - static_cast<int64_t>(spec.Drain.size());
    if (spec.MinPrefill + spec.MinDecode > left)
      errors.push_back(
          {object, "engines",
           fmt::format("{} engines that are not drained cannot be {} "
                       "prefill and {} decode",
                       left, spec.MinPrefill, spec.MinDecode),
           "add engines, drain fewer, or lower min_prefill or min_decode"});
    if (spec.InitialPrefill > spec.Engines - spec.MinDecode)
      errors.push_back({object, "initial_prefill",
                        "leaves fewer than min_decode engines for decode",
                        "lower initial_prefill"});
  }
}

void checkWorkspaces(const Catalog &c, std::vector<ValidationError> &errors) {
  std::map<std::string, double> shares;
  for (const auto &[name, spec] : c.Workspaces) {
    std::string object = "Workspace/" + name;
    std::set<std::string> pools;
    for (const std::string &it : spec.Models) {
      requireName(c.Models, it, object, "models", "Model", errors);
      auto model = c.Models.find(it);
      if (model != c.Models.end())
        pools.insert(model->second.Pool);
    }
    for (const std::string &it : spec.Services)
      requireName(c.Services, it, object, "services", "Service", errors);
    for (const std::string &it : pools)
      shares[it] += spec.Share;
  }
  for (const auto &[pool, sum] : shares)
    if (sum > 1 + ShareSlack)
      errors.push_back(
          {"EnginePool/" + pool, "share",
           fmt::format("the workspaces' shares add up to {:.3f}", sum),
           "lower the share of some workspaces to a sum of 1"});
}

/// Calls a function with the catalog's map for a kind.
template <class F> void withKind(Catalog &c, const std::string &kind, F f) {
  if (kind == "Version")
    f(c.Versions);
  else if (kind == "Adapter")
    f(c.Adapters);
  else if (kind == "Model")
    f(c.Models);
  else if (kind == "EnginePool")
    f(c.Pools);
  else if (kind == "Service")
    f(c.Services);
  else if (kind == "Workspace")
    f(c.Workspaces);
}

} // namespace

void addObject(Catalog &c, ConfigObject o) {
  withKind(c, o.Kind, [&](auto &objects) {
    using Value = typename std::decay_t<decltype(objects)>::mapped_type;
    if (auto *spec = std::get_if<Value>(&o.Spec))
      objects[o.Name] = std::move(*spec);
  });
}

void removeObject(Catalog &c, const std::string &kind,
                  const std::string &name) {
  withKind(c, kind, [&](auto &objects) { objects.erase(name); });
}

std::vector<ValidationError> checkCatalog(const Catalog &c) {
  std::vector<ValidationError> errors;
  checkVersions(c, errors);
  checkModels(c, errors);
  checkPools(c, errors);
  checkWorkspaces(c, errors);
  return errors;
}

ParsedCatalog parseCatalog(const std::vector<RawObject> &raw) {
  ParsedCatalog out;
  for (const RawObject &it : raw)
    addObject(out.Objects, parseObject(it, out.Errors));
  std::vector<ValidationError> whole = checkCatalog(out.Objects);
  out.Errors.insert(out.Errors.end(), whole.begin(), whole.end());
  return out;
}

} // namespace sardineford::config
