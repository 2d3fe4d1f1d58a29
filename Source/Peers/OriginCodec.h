#pragma once

#include "Peers/OriginTable.h"
#include "Peers/VersionView.h"

#include <span>
#include <string>
#include <vector>

namespace sardineford::messages {
class LoadShare;
} // namespace sardineford::messages

namespace sardineford::peers {

/// Datagrams without the name of the sender, which takes more bytes than all
/// else in most of them.
messages::LoadShare encodeOrigins(std::span<const OriginRecord> records);
messages::LoadShare encodeOriginQuery(uint64_t id, uint64_t service,
                                      uint64_t stream);
messages::LoadShare encodeOriginAnswer(uint64_t id,
                                       std::optional<uint32_t> version,
                                       const std::optional<VersionView> &view);
/// Reads what the sender of an answer knows of the versions. Nothing if it
/// cannot tell, or if it is of an earlier build that knows one version and does
/// not say which.
std::optional<VersionView> decodeVersionView(const messages::LoadShare &in);

/// Reads the records of a datagram. Streams without a version are skipped.
std::vector<OriginRecord> decodeOrigins(const messages::LoadShare &in);

/// Asks for the records that the sender, in this failure domain, is to hold.
messages::LoadShare encodeRecordsRequest(const std::string &failureDomain);
messages::LoadShare encodeHandover(std::span<const KnownOrigin> records,
                                   MonoTime now);
/// Reads records that another holder gives; empty if the datagram has none.
std::vector<KnownOrigin> decodeHandover(const messages::LoadShare &in,
                                        MonoTime now);

} // namespace sardineford::peers
