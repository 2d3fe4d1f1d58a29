#include "Sardineford/Peers/LoadView.h"

#include <utility>

namespace sardineford::peers {

namespace {

/// Age at which a report is stale. Peers send several reports a second, and
/// some datagrams are lost.
constexpr Milliseconds MaxReportAge{1'500};

} // namespace

void LoadView::add(const PeerReport &report) {
  for (const auto &[server, share] : report.Servers) {
    Totals[server] += share;
    Changed.push_back(server);
  }
}

void LoadView::subtract(const PeerReport &report) {
  for (const auto &[server, share] : report.Servers) {
    auto it = Totals.find(server);
    it->second -= share;
    if (it->second == fleet::WorkInFlight{})
      Totals.erase(it);
    Changed.push_back(server);
  }
}

bool LoadView::update(PeerReport report, MonoTime now) {
  auto it = Reports.find(report.Node);
  if (it != Reports.end()) {
    bool sameIncarnation = it->second.Report.Incarnation == report.Incarnation;
    if (sameIncarnation && it->second.Report.Sequence >= report.Sequence)
      return false;
    subtract(it->second.Report);
  }
  add(report);
  std::string node = report.Node;
  Reports[node] = {std::move(report), now};
  return true;
}

void LoadView::removeStale(MonoTime now) {
  std::erase_if(Reports, [&](const auto &it) {
    bool isStale = now - it.second.ReceivedAt > MaxReportAge;
    if (isStale)
      subtract(it.second.Report);
    return isStale;
  });
}

fleet::WorkInFlight LoadView::total(const std::string &server) const {
  auto it = Totals.find(server);
  return it == Totals.end() ? fleet::WorkInFlight{} : it->second;
}

std::vector<std::string> LoadView::takeChanged() {
  return std::exchange(Changed, {});
}

} // namespace sardineford::peers
