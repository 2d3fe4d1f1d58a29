#include "Sardineford/Admission/SizeFairness.h"

#include <algorithm>
#include <cmath>

namespace sardineford::admission {

namespace acc = boost::accumulators;

namespace {

/// Quantiles of the sizes: the largest tenth of a route's requests and the
/// fifth below it are tracked separately.
constexpr double LargeQuantile = 0.7;
constexpr double LargestQuantile = 0.9;
/// Number of requests before the quantiles are used.
constexpr unsigned MinRecordedRequests = 20;
/// Weight of a sample in the moving averages of the served ratios; about the
/// last forty requests determine them.
constexpr double SampleWeight = 0.05;
/// Large requests, and workspaces within their share, are underserved below
/// this fraction of the overall served ratio.
constexpr double FairRatio = 0.8;
/// The same for a workspace beyond its share. Below a quarter a workspace is
/// not served acceptably; the rest is for the delay of the moving averages.
constexpr double FairRatioBeyondShare = 0.6;
/// Weight of a sample in the served ratio that workspaces are compared with. It
/// spans the bursts in which a workspace sends its requests.
constexpr double AllWorkspacesWeight = 0.002;
/// Number of a route's requests over which the use of workspaces is compared.
constexpr double UseWindow = 1'000;
/// A workspace is beyond its share from this multiple of an equal one, so that
/// chance differences between equal workspaces have no effect.
constexpr double BeyondShareRatio = 1.5;
/// Workspaces that have used less than this ratio of one request's size do not
/// count among those that share the capacity.
constexpr double MinUsed = 0.05;
/// Weight of a sample in the moving average of the shortage.
constexpr double ShortageWeight = 0.02;
/// Shortage below which capacity suffices: single requests are also rejected by
/// servers that stop or restart.
constexpr double MinShortageRatio = 0.02;

} // namespace

SizeFairness::Tail::Tail(double quantile)
    : MinSize(acc::quantile_probability = quantile) {}

SizeFairness::SizeFairness()
    : Tails{Tail(LargeQuantile), Tail(LargestQuantile)} {}

std::optional<size_t> SizeFairness::tailOf(double size) const {
  if (RecordedRequests < MinRecordedRequests)
    return std::nullopt;
  for (size_t i = Tails.size(); i-- > 0;)
    if (size > acc::p_square_quantile(Tails[i].MinSize))
      return i;
  return std::nullopt;
}

double SizeFairness::usedNow(const WorkspaceUse &use) const {
  return use.Used *
         std::exp(-static_cast<double>(RecordedRequests - use.UsedAt) /
                  UseWindow);
}

double SizeFairness::shareRatio(const WorkspaceUse &use) const {
  double total = 0;
  double sharing = 0;
  for (const auto &[name, it] : Workspaces) {
    double used = usedNow(it);
    total += used;
    sharing += used >= MinUsed ? 1 : 0;
  }
  return total > 0 ? usedNow(use) * sharing / total : 0;
}

void SizeFairness::forgetLeastUsed() {
  Workspaces.erase(std::min_element(
      Workspaces.begin(), Workspaces.end(), [&](const auto &a, const auto &b) {
        return usedNow(a.second) < usedNow(b.second);
      }));
}

void SizeFairness::record(double size, bool served,
                          std::string_view workspace) {
  double value = served ? 1 : 0;
  if (std::optional<size_t> tail = tailOf(size)) {
    double &ratio = Tails[*tail].ServedRatio;
    ratio += (value - ratio) * SampleWeight;
  }
  for (Tail &it : Tails)
    it.MinSize(size);
  ++RecordedRequests;
  OverallServedRatio += (value - OverallServedRatio) * SampleWeight;
  if (workspace.empty())
    return;
  auto it = Workspaces.find(workspace);
  if (it == Workspaces.end()) {
    if (Workspaces.size() >= MaxWorkspaces)
      forgetLeastUsed();
    it = Workspaces.emplace(workspace, WorkspaceUse{}).first;
    it->second.ServedRatio = WorkspacesServedRatio;
  }
  // The mean of all until there are enough for the moving average.
  ++WorkspaceRequests;
  WorkspacesServedRatio +=
      (value - WorkspacesServedRatio) *
      std::max(AllWorkspacesWeight, 1 / static_cast<double>(WorkspaceRequests));
  WorkspaceUse &use = it->second;
  use.Used = usedNow(use) + (served ? std::max(size, 1.0) : 0);
  use.UsedAt = RecordedRequests;
  use.ServedRatio += (value - use.ServedRatio) * SampleWeight;
}

void SizeFairness::recordCapacity(bool sufficed) {
  ShortageRatio += ((sufficed ? 0 : 1) - ShortageRatio) * ShortageWeight;
}

bool SizeFairness::isUnderserved(double size,
                                 std::string_view workspace) const {
  auto it = Workspaces.find(workspace);
  if (it != Workspaces.end()) {
    bool isBeyondShare = shareRatio(it->second) > BeyondShareRatio;
    if (it->second.ServedRatio <
        (isBeyondShare ? FairRatioBeyondShare : FairRatio) *
            WorkspacesServedRatio)
      return true;
    // A size that is served less often does not make up for the excess of one
    // workspace.
    if (isBeyondShare)
      return false;
  }
  std::optional<size_t> tail = tailOf(size);
  return tail && Tails[*tail].ServedRatio < FairRatio * OverallServedRatio;
}

double SizeFairness::yieldRatio(std::string_view workspace) const {
  if (ShortageRatio < MinShortageRatio)
    return 0;
  auto it = Workspaces.find(workspace);
  double lowest = FairRatioBeyondShare * WorkspacesServedRatio;
  if (it == Workspaces.end() || it->second.ServedRatio < lowest)
    return 0;
  double share = shareRatio(it->second);
  if (share <= BeyondShareRatio)
    return 0;
  return std::min(1 - lowest, ShortageRatio * share);
}

} // namespace sardineford::admission
