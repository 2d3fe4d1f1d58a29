#include "Controller/WorkspaceRates.h"

namespace sardineford::controller {

namespace {

constexpr double SampleWeight = 0.3;
/// Lower rates are removed.
constexpr double MinTokensPerSecond = 0.5;

} // namespace

void WorkspaceRates::sample(Seconds interval) {
  for (auto &[name, rate] : Rates)
    rate *= 1 - SampleWeight;
  for (const auto &[name, tokens] : PendingTokens)
    Rates[name] +=
        SampleWeight * static_cast<double>(tokens) / interval.count();
  PendingTokens.clear();
  std::erase_if(Rates,
                [](const auto &it) { return it.second < MinTokensPerSecond; });
}

void WorkspaceRates::addExceededShares(messages::PoolView &out,
                                       const config::Catalog &catalog,
                                       double capacity) const {
  double demand = 0;
  double shares = 0;
  for (const auto &[name, rate] : Rates) {
    auto workspace = catalog.Workspaces.find(name);
    if (workspace == catalog.Workspaces.end())
      continue;
    demand += rate;
    shares += workspace->second.Share;
  }
  if (demand <= capacity || shares <= 0)
    return;
  for (const auto &[name, rate] : Rates) {
    auto workspace = catalog.Workspaces.find(name);
    if (workspace == catalog.Workspaces.end())
      continue;
    double allowed = capacity * workspace->second.Share / shares;
    if (rate <= allowed)
      continue;
    messages::WorkspaceRate *r = out.add_rates();
    r->set_workspace(name);
    r->set_tokens_per_second(rate);
    r->set_allowed_per_second(allowed);
  }
}

} // namespace sardineford::controller
