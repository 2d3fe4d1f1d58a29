#pragma once

#include "Messages/Messages.pb.h"
#include "Sardineford/Common/Time.h"
#include "Sardineford/Config/Objects.h"

#include <cstdint>
#include <map>
#include <string>

namespace sardineford::controller {

/// What each workspace asks of one pool, in decode tokens a second over all
/// nodes.
class WorkspaceRates {
public:
  void add(const std::string &workspace, uint64_t tokens) {
    Pending[workspace] += tokens;
  }

  /// Takes what was added in an interval into the averages.
  void sample(Seconds interval);

  /// While demand exceeds capacity, tells of the workspaces that take more than
  /// their share comes to among those that ask for work now. Others are not
  /// told of, so that the view does not grow with the number of workspaces.
  void addOverShare(messages::PoolView &out, const config::Catalog &catalog,
                    double capacity) const;

private:
  std::map<std::string, uint64_t> Pending;
  std::map<std::string, double> Rates;
};

} // namespace sardineford::controller
