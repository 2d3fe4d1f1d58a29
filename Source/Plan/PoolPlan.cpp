#include "Sardineford/Plan/PoolPlan.h"

#include <boost/json.hpp>

#include <algorithm>

namespace sardineford::plan {

namespace json = boost::json;

namespace {

json::object toJson(const ProcessIdentity &h) {
  return {
      {"name", h.Name}, {"incarnation", h.Incarnation}, {"address", h.Address}};
}

std::string textOf(const json::value &o, const char *name) {
  return json::value_to<std::string>(o.at(name));
}

ProcessIdentity holderFrom(const json::value &o) {
  return {textOf(o, "name"), textOf(o, "incarnation"), textOf(o, "address")};
}

json::object toJson(const Order &o) {
  return {{"id", o.Id},
          {"engine", o.Engine},
          {"target_role", routing::toString(o.TargetRole)},
          {"epoch", o.Epoch},
          {"issuer", toJson(o.Issuer)}};
}

Order orderFrom(const json::value &o) {
  return {textOf(o, "id"), textOf(o, "engine"),
          routing::parseRole(textOf(o, "target_role")),
          o.at("epoch").to_number<uint64_t>(), holderFrom(o.at("issuer"))};
}

} // namespace

std::string encodePlan(const PoolPlan &p) {
  json::object engines;
  for (const auto &[name, a] : p.Engines)
    engines[name] = json::object{{"role", routing::toString(a.Role)},
                                 {"draining", a.Draining}};
  json::array orders;
  for (const Order &it : p.Unfinished)
    orders.push_back(toJson(it));
  return json::serialize(json::object{{"pool", p.Pool},
                                      {"holder", toJson(p.Holder)},
                                      {"epoch", p.Epoch},
                                      {"renewals", p.Renewals},
                                      {"engines", std::move(engines)},
                                      {"unfinished", std::move(orders)},
                                      {"write_id", p.WriteId}});
}

PoolPlan decodePlan(const std::string &text) {
  json::value root = json::parse(text);
  PoolPlan p;
  p.Pool = textOf(root, "pool");
  p.Holder = holderFrom(root.at("holder"));
  p.Epoch = root.at("epoch").to_number<uint64_t>();
  p.Renewals = root.at("renewals").to_number<uint64_t>();
  for (const auto &it : root.at("engines").as_object())
    p.Engines[std::string(it.key())] = {
        routing::parseRole(textOf(it.value(), "role")),
        it.value().at("draining").as_bool()};
  for (const json::value &it : root.at("unfinished").as_array())
    p.Unfinished.push_back(orderFrom(it));
  p.WriteId = textOf(root, "write_id");
  return p;
}

PoolPlan takeOver(PoolPlan p, const ProcessIdentity &by) {
  p.Holder = by;
  ++p.Epoch;
  p.Renewals = 0;
  return p;
}

PoolPlan recordOrder(PoolPlan p, const Order &o) {
  if (unfinishedOrder(p, o.Engine))
    throw Error(ErrorKind::Conflict,
                "engine " + o.Engine + " has an unfinished order",
                "wait until that order has ended");
  p.Unfinished.push_back(o);
  return p;
}

PoolPlan endOrder(PoolPlan p, const std::string &id, bool done) {
  auto it = std::find_if(p.Unfinished.begin(), p.Unfinished.end(),
                         [&](const Order &o) { return o.Id == id; });
  if (it == p.Unfinished.end())
    return p;
  Assignment &a = p.Engines[it->Engine];
  if (done)
    a.Role = it->TargetRole;
  a.Draining = false;
  p.Unfinished.erase(it);
  return p;
}

std::optional<Order> unfinishedOrder(const PoolPlan &p,
                                     const std::string &engine) {
  for (const Order &it : p.Unfinished)
    if (it.Engine == engine)
      return it;
  return std::nullopt;
}

bool isFrozen(const PoolPlan &p, const std::string &engine,
              bool checksFencing) {
  if (checksFencing)
    return false;
  std::optional<Order> o = unfinishedOrder(p, engine);
  return o && o->Issuer.Incarnation != p.Holder.Incarnation;
}

void ObservedLease::recordVersion(uint64_t version, MonoTime at) {
  if (Version == version)
    return;
  Version = version;
  VersionSeenSince = at;
}

bool ObservedLease::hasExpired(MonoTime now) const {
  return Version && now >= VersionSeenSince + Times.Duration + Times.Margin;
}

} // namespace sardineford::plan
