#include "Peers/OriginHandover.h"

#include "Sardineford/Common/Random.h"

#include <algorithm>
#include <string_view>

namespace sardineford::peers {

namespace {

/// Processes that hold a record, with the one that began the stream if it is
/// among them: the others do not know it.
std::vector<http::Endpoint>
rankedHolders(uint64_t stream, const std::vector<HashedProcess> &processes) {
  std::vector<http::Endpoint> out = chooseHolders(stream, processes, {});
  out.resize(std::min(out.size(), HoldersPerStream));
  return out;
}

bool contains(const std::vector<http::Endpoint> &endpoints,
              const http::Endpoint &endpoint) {
  return std::find(endpoints.begin(), endpoints.end(), endpoint) !=
         endpoints.end();
}

} // namespace

std::vector<Handover> chooseHandovers(std::span<const KnownOrigin> records,
                                      const std::vector<HashedProcess> &before,
                                      const std::vector<HashedProcess> &after,
                                      const http::Endpoint &local) {
  std::vector<Handover> out;
  for (const KnownOrigin &it : records) {
    std::vector<http::Endpoint> old = rankedHolders(it.Record.Stream, before);
    for (const http::Endpoint &to : rankedHolders(it.Record.Stream, after))
      if (to != local && !contains(old, to))
        out.push_back({to, it});
  }
  return out;
}

std::vector<KnownOrigin>
chooseRecordsFor(const HashedProcess &joined,
                 std::span<const KnownOrigin> records,
                 const std::vector<HashedProcess> &processes) {
  std::vector<KnownOrigin> out;
  for (const KnownOrigin &it : records)
    if (mayHold(it.Record.Stream, joined, processes) &&
        contains(rankedHolders(it.Record.Stream, processes),
                 joined.Process.Address))
      out.push_back(it);
  return out;
}

std::pair<http::Endpoint, std::vector<KnownOrigin>>
HandoverQueue::take(size_t maxRecords) {
  http::Endpoint to = Order.front();
  Order.pop_front();
  std::deque<KnownOrigin> &records = Records[to];
  size_t n = std::min(records.size(), maxRecords);
  auto end = records.begin() + static_cast<ptrdiff_t>(n);
  std::vector<KnownOrigin> out(records.begin(), end);
  records.erase(records.begin(), end);
  if (records.empty())
    Records.erase(to);
  else
    Order.push_back(to);
  return {to, std::move(out)};
}

bool HandoverQueue::maySend(MonoTime now) {
  if (UpdatedAt != MonoTime{})
    Allowed = std::min(BurstBytes,
                       Allowed + toSeconds(now - UpdatedAt) * BytesPerSecond);
  UpdatedAt = now;
  return Allowed > 0;
}

} // namespace sardineford::peers
