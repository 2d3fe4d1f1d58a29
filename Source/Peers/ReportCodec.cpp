#include "Peers/ReportCodec.h"

#include "Messages/Messages.pb.h"

namespace sardineford::peers {

void encodeDigests(const fleet::StoreView &view, messages::LoadShare &out) {
  out.set_configuration_digest(view.Configuration.Digest);
  out.set_configuration_newest(view.Configuration.NewestVersion);
  out.set_servers_digest(view.Servers.Digest);
  out.set_servers_newest(view.Servers.NewestVersion);
}

void encodeAnswerAges(const fleet::StoreView &view, messages::LoadShare &out) {
  out.set_watch_rank(view.Rank);
  out.set_watches_configuration(view.Configuration.Watches);
  out.set_watches_servers(view.Servers.Watches);
  auto age = [](Milliseconds t) { return static_cast<uint32_t>(t.count()); };
  if (view.Configuration.AnswerAge)
    out.set_configuration_age_ms(age(*view.Configuration.AnswerAge));
  if (view.Servers.AnswerAge)
    out.set_servers_age_ms(age(*view.Servers.AnswerAge));
}

fleet::StoreView decodeStoreView(const messages::LoadShare &in) {
  fleet::StoreView out;
  out.Configuration = {
      in.configuration_digest(), in.configuration_newest(), {}};
  out.Servers = {in.servers_digest(), in.servers_newest(), {}};
  if (in.has_configuration_age_ms())
    out.Configuration.AnswerAge = Milliseconds(in.configuration_age_ms());
  if (in.has_servers_age_ms())
    out.Servers.AnswerAge = Milliseconds(in.servers_age_ms());
  out.Configuration.Watches = in.watches_configuration();
  out.Servers.Watches = in.watches_servers();
  out.Rank = in.watch_rank();
  return out;
}

void encodeChangesHead(const fleet::PublishedChanges &changes,
                       messages::LoadShare &out) {
  messages::ObjectChanges &head = *out.mutable_changes();
  head.set_revision(changes.Changes.Revision);
  head.set_grace_ms(static_cast<uint32_t>(changes.MissingGrace.count()));
  head.set_is_configuration(changes.IsConfiguration);
  head.set_age_ms(static_cast<uint32_t>(changes.Age.count()));
}

fleet::PublishedChanges decodeChanges(const messages::LoadShare &in) {
  fleet::PublishedChanges out{
      in.changes().is_configuration(),
      {in.changes().revision(), {}},
      Milliseconds(in.changes().grace_ms()),
      {in.changes().digest(), in.changes().newest_version(), std::nullopt},
      Milliseconds(in.changes().age_ms())};
  for (const messages::StoredObject &it : in.changes().objects())
    out.Changes.Objects.push_back({"", it.name(), it.version(), it.value()});
  return out;
}

messages::LoadShare encodeVersionRecord(const fleet::VersionRecord &record) {
  messages::LoadShare out;
  // Earlier builds find nothing in the relay and drop the datagram.
  out.mutable_relay();
  messages::VersionRecord &r = *out.mutable_version_record();
  r.set_service(record.Service);
  for (const std::string &it : record.Versions)
    r.add_versions(it);
  r.set_version(record.Version);
  return out;
}

fleet::VersionRecord decodeVersionRecord(const messages::LoadShare &in) {
  const messages::VersionRecord &r = in.version_record();
  return {r.service(), {r.versions().begin(), r.versions().end()}, r.version()};
}

} // namespace sardineford::peers
