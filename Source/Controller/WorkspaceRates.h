#pragma once

#include "Messages/Messages.pb.h"
#include "Sardineford/Common/Time.h"
#include "Sardineford/Config/Objects.h"

#include <cstdint>
#include <map>
#include <string>

namespace sardineford::controller {

/// Demand of each workspace on one pool over all entry processes, in decode
/// tokens per second.
class WorkspaceRates {
public:
  void add(const std::string &workspace, uint64_t tokens) {
    PendingTokens[workspace] += tokens;
  }

  /// Updates the moving averages with the tokens that were added in an
  /// interval.
  void sample(Seconds interval);

  /// While demand exceeds capacity, adds the workspaces whose rate exceeds
  /// their share among the workspaces with current demand. Other workspaces are
  /// left out, so that the view does not grow with the number of workspaces.
  void addExceededShares(messages::PoolView &out,
                         const config::Catalog &catalog, double capacity) const;

private:
  std::map<std::string, uint64_t> PendingTokens;
  std::map<std::string, double> Rates;
};

} // namespace sardineford::controller
