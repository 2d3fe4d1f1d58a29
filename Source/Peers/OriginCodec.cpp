#include "Peers/OriginCodec.h"

#include "Messages/Messages.pb.h"

#include <algorithm>
#include <limits>

namespace sardineford::peers {

namespace {

messages::LoadShare makeDatagram() {
  messages::LoadShare out;
  // Earlier builds find nothing in it and drop the datagram.
  out.mutable_relay();
  return out;
}

} // namespace

messages::LoadShare encodeOrigins(std::span<const OriginRecord> records) {
  messages::LoadShare out = makeDatagram();
  for (const OriginRecord &it : records) {
    out.mutable_origins()->add_streams(it.Stream);
    out.mutable_origins()->add_versions(it.Version);
  }
  return out;
}

messages::LoadShare encodeOriginQuery(uint64_t id, uint64_t service,
                                      uint64_t stream) {
  messages::LoadShare out = makeDatagram();
  out.mutable_origins()->set_query(id);
  out.mutable_origins()->set_service(service);
  out.mutable_origins()->add_streams(stream);
  return out;
}

messages::LoadShare encodeOriginAnswer(uint64_t id,
                                       std::optional<uint32_t> version,
                                       const std::optional<VersionView> &view) {
  messages::LoadShare out = makeDatagram();
  out.mutable_origins()->set_answer(id);
  if (view) {
    out.mutable_origins()->set_has_several_versions(!view->OnlyVersion);
    if (view->OnlyVersion)
      out.mutable_origins()->set_only_version(*view->OnlyVersion);
    if (view->Age.count() >= 0 &&
        view->Age.count() <= std::numeric_limits<uint32_t>::max())
      out.mutable_origins()->set_view_age_ms(
          static_cast<uint32_t>(view->Age.count()));
  }
  if (version)
    out.mutable_origins()->add_versions(*version);
  return out;
}

std::optional<VersionView> decodeVersionView(const messages::LoadShare &in) {
  const messages::StreamOrigins &origins = in.origins();
  if (!origins.has_several_versions() && !origins.has_only_version())
    return std::nullopt;
  VersionView out;
  if (!origins.has_several_versions())
    out.OnlyVersion = origins.only_version();
  if (origins.has_view_age_ms())
    out.Age = Milliseconds(origins.view_age_ms());
  return out;
}

std::vector<OriginRecord> decodeOrigins(const messages::LoadShare &in) {
  std::vector<OriginRecord> out;
  int n = std::min(in.origins().streams_size(), in.origins().versions_size());
  out.reserve(static_cast<size_t>(n));
  for (int i = 0; i < n; ++i)
    out.push_back({in.origins().streams(i), in.origins().versions(i)});
  return out;
}

messages::LoadShare encodeRecordsRequest(const std::string &failureDomain) {
  messages::LoadShare out = makeDatagram();
  out.mutable_origins()->set_wants_records(true);
  out.set_failure_domain(failureDomain);
  return out;
}

messages::LoadShare encodeHandover(std::span<const KnownOrigin> records,
                                   MonoTime now) {
  messages::LoadShare out = makeDatagram();
  for (const KnownOrigin &it : records) {
    out.mutable_origins()->add_streams(it.Record.Stream);
    out.mutable_origins()->add_versions(it.Record.Version);
    auto age = std::chrono::ceil<std::chrono::seconds>(now - it.BeganAt);
    out.mutable_origins()->add_ages_s(static_cast<uint32_t>(age.count()));
  }
  return out;
}

std::vector<KnownOrigin> decodeHandover(const messages::LoadShare &in,
                                        MonoTime now) {
  std::vector<KnownOrigin> out;
  std::vector<OriginRecord> records = decodeOrigins(in);
  const auto &ages = in.origins().ages_s();
  for (size_t i = 0; i < records.size() && static_cast<int>(i) < ages.size();
       ++i)
    out.push_back(
        {records[i], now - std::chrono::seconds(ages[static_cast<int>(i)])});
  return out;
}

} // namespace sardineford::peers
