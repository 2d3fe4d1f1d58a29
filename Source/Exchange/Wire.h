#pragma once

#include "Sardineford/Exchange/Exchange.h"

#include <string>
#include <vector>

namespace sardineford::exchange::wire {

struct LeavingMark {
  std::string Backend;
  std::string Incarnation;
};

/// Request or reply of an exchange: the updates since the previous exchange.
struct Message {
  timeline::HybridTime Time;
  uint64_t Generation = 0;
  http::Endpoint From;
  /// Requests the whole state instead of the updates.
  bool WantAll = false;
  std::string Incarnation;
  std::vector<Member> Members;
  std::vector<LeavingMark> Leaving;
  std::vector<LeaseHolder> Holders;
};

std::string encode(const Message &m);
Message decode(const std::string &bytes);

std::string encodeFetch(timeline::HybridTime now, uint64_t haveGeneration);
/// Returns the generation that the requesting process has.
uint64_t decodeFetch(const std::string &bytes);

std::string encodeDelta(timeline::HybridTime now, const config::Delta &d);
config::Delta decodeDelta(const std::string &bytes);

} // namespace sardineford::exchange::wire
