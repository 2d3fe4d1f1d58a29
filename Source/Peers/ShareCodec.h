#pragma once

#include "Sardineford/Fleet/WorkInFlight.h"

#include <string>

namespace sardineford::messages {
class ServerShare;
} // namespace sardineford::messages

namespace sardineford::peers {

/// Writes the work at a server. Parts of tokens are dropped.
void encodeShare(const std::string &server, const fleet::WorkInFlight &work,
                 messages::ServerShare &out);

/// Reads the work at a server. Priorities that are unknown here are ignored.
fleet::WorkInFlight decodeShare(const messages::ServerShare &in);

} // namespace sardineford::peers
