#pragma once

#include "Peers/RunningProcess.h"

#include <vector>

namespace sardineford::messages {
class GroupRelay;
} // namespace sardineford::messages

namespace sardineford::peers {

/// Returns whether the relay can hold the address, which takes six bytes.
bool isCompact(const http::Endpoint &address);

/// Adds processes with compact addresses to a relay.
void encodeProcesses(const std::vector<RunningProcess> &processes,
                     messages::GroupRelay &out);

/// Reads the processes of a relay. Bytes that are no whole address are ignored.
std::vector<RunningProcess> decodeProcesses(const messages::GroupRelay &in);

} // namespace sardineford::peers
