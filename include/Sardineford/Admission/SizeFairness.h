#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sardineford::admission {

/// Tracks whether the requests of a route are served about as often for each
/// size and each workspace.
///
/// Under sustained overload small requests fit into the queues earlier, and
/// large ones would never be served. The same holds for workspaces: one that
/// sends many requests at once takes the capacity of those that send few.
///
/// While capacity does not suffice for all, a part of the requests of the
/// workspaces that use more than their share is rejected. The part grows with
/// the shortage and with what the workspace uses beyond its share, and is 0 as
/// soon as its requests are served clearly less often than all.
class SizeFairness {
public:
  /// Maximum number of workspaces that are tracked; those that use the least
  /// are forgotten. Bounds the memory of a route to about 16 KB.
  static constexpr size_t MaxWorkspaces = 128;

  SizeFairness();

  /// Records the end of a request. `workspace` is empty without workspaces.
  void record(double size, bool served, std::string_view workspace = {});
  /// Records whether capacity sufficed for a request that was not rejected in
  /// favour of other workspaces.
  void recordCapacity(bool sufficed);
  /// Returns whether requests of this size, or of this workspace, are served
  /// less often than others.
  bool isUnderserved(double size, std::string_view workspace = {}) const;
  /// Returns the ratio of the workspace's requests that is to be rejected in
  /// favour of others.
  double yieldRatio(std::string_view workspace) const;
  size_t trackedWorkspaces() const { return Workspaces.size(); }

private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

  /// The requests larger than a quantile of the sizes.
  struct Tail {
    explicit Tail(double quantile);

    Quantile MinSize;
    double ServedRatio = 1;
  };

  /// Returns the index of the highest tail that contains a size; empty if there
  /// is none or too few requests are recorded.
  std::optional<size_t> tailOf(double size) const;

  struct WorkspaceUse {
    /// Sum of the sizes that were served; each later request of the route
    /// reduces the weight of those before.
    double Used = 0;
    /// Value of RecordedRequests at which `Used` was computed.
    uint64_t UsedAt = 0;
    double ServedRatio = 1;
  };

  double usedNow(const WorkspaceUse &use) const;
  /// Returns what the workspace uses as a multiple of an equal share.
  double shareRatio(const WorkspaceUse &use) const;
  void forgetLeastUsed();

  std::array<Tail, 2> Tails;
  std::map<std::string, WorkspaceUse, std::less<>> Workspaces;
  uint64_t RecordedRequests = 0;
  double OverallServedRatio = 1;
  /// The same of the requests of workspaces, over a longer time.
  double WorkspacesServedRatio = 1;
  uint64_t WorkspaceRequests = 0;
  /// Moving average of the requests for which capacity did not suffice.
  double ShortageRatio = 0;
};

} // namespace sardineford::admission
