#pragma once

#include "Sardineford/Fleet/CrashEvidence.h"

namespace sardineford::messages {
class LoadShare;
} // namespace sardineford::messages

namespace sardineford::peers {

/// Makes a datagram of findings without content. Earlier builds drop it.
messages::LoadShare makeFindings();

/// Adds the evidence on a prompt part. Times are sent as ages.
void encodePart(uint64_t part, const fleet::PartEvidence &evidence,
                MonoTime now, messages::LoadShare &out);

/// Reads the evidence on all prompt parts of the datagram.
fleet::EvidenceByPart decodeParts(const messages::LoadShare &in, MonoTime now);

} // namespace sardineford::peers
