#pragma once

#include "Sardineford/Fleet/CrashEvidence.h"
#include "Sardineford/Fleet/RequestLimit.h"

#include <map>
#include <string>

namespace sardineford::messages {
class LoadShare;
} // namespace sardineford::messages

namespace sardineford::peers {

/// Makes a datagram of findings without content. Earlier builds drop it.
messages::LoadShare makeFindings();

/// Adds the evidence on a prompt part. Times are sent as ages.
void encodePart(uint64_t part, const fleet::SuspectEvidence &evidence,
                MonoTime now, messages::LoadShare &out);

/// Reads the evidence on all prompt parts of the datagram.
fleet::EvidenceBySuspect decodeParts(const messages::LoadShare &in,
                                     MonoTime now);

/// A server and what it said last of its limit.
struct ServerLimit {
  std::string Id;
  fleet::RequestLimit Limit;
};

/// By hashOfIncarnation.
using LimitByServer = std::map<uint32_t, ServerLimit>;

void encodeLimit(uint32_t server, const ServerLimit &limit, MonoTime now,
                 messages::LoadShare &out);
LimitByServer decodeLimits(const messages::LoadShare &in, MonoTime now);

} // namespace sardineford::peers
