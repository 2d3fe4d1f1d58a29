#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Http/Message.h"

#include <map>
#include <set>
#include <vector>

namespace sardineford::peers {

/// The other processes as far as they are known, and whom to send to.
class PeerSet {
public:
  explicit PeerSet(http::Endpoint own) : Own(std::move(own)) {}

  /// A process stands on the platform's list.
  void noteListed(const http::Endpoint &at, MonoTime now);
  /// A report of a process came in, from itself or passed on.
  void noteHeard(const http::Endpoint &at, MonoTime now);

  struct Sends {
    std::vector<http::Endpoint> Near;
    std::vector<http::Endpoint> Far;
    /// Silent ones, which are asked for a report now and then: they may just
    /// have been started, woken, or joined again, or count other processes to
    /// their groups.
    std::vector<http::Endpoint> Silent;
  };
  /// Whom to send to now. Silent ones count as asked.
  Sends next(MonoTime now);
  /// The endpoint is of the group that tells one another directly.
  bool isNear(const http::Endpoint &at) const { return Group.contains(at); }
  bool empty() const { return Known.empty(); }

private:
  struct Peer {
    /// Heard last, or listed first.
    MonoTime Since;
    bool Heard = false;
    MonoTime Probed{};
  };

  http::Endpoint Own;
  std::map<http::Endpoint, Peer> Known;
  std::set<http::Endpoint> Group;
};

} // namespace sardineford::peers
