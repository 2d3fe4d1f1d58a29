#include "Exchange/Wire.h"

#include "Messages/Messages.pb.h"

namespace sardineford::exchange::wire {

namespace {

/// Parses a message of a peer. Throws Error(BadRequest).
template <class T> T parse(const std::string &bytes) {
  T m;
  if (!m.ParseFromString(bytes))
    throw Error(ErrorKind::BadRequest, "cannot parse the message of a peer",
                "run compatible versions on all processes");
  return m;
}

void fill(messages::NodeState &to, const Member &from) {
  to.set_name(from.Name);
  to.set_incarnation(from.Incarnation);
  to.set_address(http::toString(from.Address));
  to.set_domain(from.FailureDomain);
  to.set_generation(from.Generation);
  to.set_ready(from.Ready);
  to.set_controller(from.IsController);
  to.set_sequence(from.Sequence);
  to.set_stopping(from.Stopping);
}

Member toMember(const messages::NodeState &from) {
  Member m;
  m.Name = from.name();
  m.Incarnation = from.incarnation();
  m.Address = http::parseEndpoint(from.address());
  m.FailureDomain = from.domain();
  m.Generation = from.generation();
  m.Ready = from.ready();
  m.IsController = from.controller();
  m.Sequence = from.sequence();
  m.Stopping = from.stopping();
  return m;
}

} // namespace

std::string encode(const Message &m) {
  messages::ExchangeMessage out;
  out.set_time(m.Time.Value);
  out.set_generation(m.Generation);
  out.set_from(http::toString(m.From));
  out.set_want_all(m.WantAll);
  out.set_incarnation(m.Incarnation);
  for (const Member &it : m.Members)
    fill(*out.add_nodes(), it);
  for (const auto &it : m.Leaving) {
    messages::LeavingMark *mark = out.add_leaving();
    mark->set_backend(it.Backend);
    mark->set_incarnation(it.Incarnation);
  }
  for (const LeaseHolder &it : m.Holders) {
    messages::PoolHolder *holder = out.add_holders();
    holder->set_pool(it.Pool);
    holder->set_holder(it.Holder);
    holder->set_epoch(it.Epoch);
    holder->set_address(http::toString(it.Address));
  }
  return out.SerializeAsString();
}

Message decode(const std::string &bytes) {
  auto in = parse<messages::ExchangeMessage>(bytes);
  Message m;
  m.Time.Value = in.time();
  m.Generation = in.generation();
  m.From = http::parseEndpoint(in.from());
  m.WantAll = in.want_all();
  m.Incarnation = in.incarnation();
  for (const messages::NodeState &it : in.nodes())
    m.Members.push_back(toMember(it));
  for (const messages::LeavingMark &it : in.leaving())
    m.Leaving.push_back({it.backend(), it.incarnation()});
  for (const messages::PoolHolder &it : in.holders())
    m.Holders.push_back({it.pool(), it.holder(), it.epoch(),
                         http::parseEndpoint(it.address())});
  return m;
}

std::string encodeFetch(timeline::HybridTime now, uint64_t haveGeneration) {
  messages::FetchRequest out;
  out.set_time(now.Value);
  out.set_have_generation(haveGeneration);
  return out.SerializeAsString();
}

uint64_t decodeFetch(const std::string &bytes) {
  return parse<messages::FetchRequest>(bytes).have_generation();
}

std::string encodeDelta(timeline::HybridTime now, const config::Delta &d) {
  messages::FetchReply out;
  out.set_time(now.Value);
  out.set_generation(d.Generation);
  out.set_base_generation(d.Base);
  for (const config::Record &it : d.Records) {
    messages::ObjectRecord *r = out.add_objects();
    r->set_kind(it.Kind);
    r->set_name(it.Name);
    r->set_value(it.Text);
    r->set_version(it.Version);
    r->set_changed_in(it.ChangedIn);
    r->set_removed(it.Removed);
  }
  return out.SerializeAsString();
}

config::Delta decodeDelta(const std::string &bytes) {
  auto in = parse<messages::FetchReply>(bytes);
  config::Delta d;
  d.Generation = in.generation();
  d.Base = in.base_generation();
  for (const messages::ObjectRecord &it : in.objects())
    d.Records.push_back({it.kind(), it.name(), it.value(), it.version(),
                         it.changed_in(), it.removed()});
  return d;
}

} // namespace sardineford::exchange::wire
