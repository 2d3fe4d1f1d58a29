#include "Sardineford/Peers/LoadView.h"

namespace sardineford::peers {

namespace {

/// Reports come several times a second; some datagrams are lost.
constexpr Milliseconds SilenceLimit{1'500};

} // namespace

bool LoadView::take(PeerReport report, MonoTime now) {
  auto it = Reports.find(report.Node);
  if (it != Reports.end() &&
      it->second.Report.Incarnation == report.Incarnation &&
      it->second.Report.Sequence >= report.Sequence)
    return false;
  std::string node = report.Node;
  Reports[node] = {std::move(report), now};
  return true;
}

void LoadView::forget(MonoTime now) {
  std::erase_if(Reports, [&](const auto &it) {
    return now - it.second.Heard > SilenceLimit;
  });
}

std::map<std::string, fleet::WorkInFlight> LoadView::total() const {
  std::map<std::string, fleet::WorkInFlight> out;
  for (const auto &[node, known] : Reports)
    for (const auto &[server, share] : known.Report.Servers)
      out[server] += share;
  return out;
}

} // namespace sardineford::peers
