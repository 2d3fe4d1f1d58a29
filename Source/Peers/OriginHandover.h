#pragma once

#include "Peers/OriginHolders.h"
#include "Peers/OriginTable.h"

#include <cstddef>
#include <deque>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace sardineford::peers {

/// A record that another process is to hold as well.
struct Handover {
  http::Endpoint To;
  KnownOrigin Record;
};

/// Chooses the processes that hold a record after others have gone, and did not
/// before.
std::vector<Handover> chooseHandovers(std::span<const KnownOrigin> records,
                                      const std::vector<HashedProcess> &before,
                                      const std::vector<HashedProcess> &after,
                                      const http::Endpoint &local);

/// Returns the records that a process is to hold that has just started.
std::vector<KnownOrigin>
chooseRecordsFor(const HashedProcess &joined,
                 std::span<const KnownOrigin> records,
                 const std::vector<HashedProcess> &processes);

/// Records to give to other processes, and how many bytes may be sent for them:
/// a burst after many processes have ended, and a steady rate from then on.
class HandoverQueue {
public:
  static constexpr double BytesPerSecond = 7'000;
  static constexpr double BurstBytes = 5 * BytesPerSecond;

  void push(const http::Endpoint &to, const KnownOrigin &record) {
    std::deque<KnownOrigin> &records = Records[to];
    if (records.empty())
      Order.push_back(to);
    records.push_back(record);
  }
  bool empty() const { return Order.empty(); }
  /// Returns the first records for the process whose turn it is.
  std::pair<http::Endpoint, std::vector<KnownOrigin>> take(size_t maxRecords);
  /// Returns whether bytes may be sent now.
  bool maySend(MonoTime now);
  void countSent(size_t bytes) { Allowed -= static_cast<double>(bytes); }

private:
  std::map<http::Endpoint, std::deque<KnownOrigin>> Records;
  /// Processes in the order of their turns.
  std::deque<http::Endpoint> Order;
  double Allowed = BurstBytes;
  MonoTime UpdatedAt{};
};

} // namespace sardineford::peers
