#include "Sardineford/Plan/PoolPlan.h"

#include <boost/json.hpp>

#include <algorithm>

namespace sardineford::plan {

namespace json = boost::json;

namespace {

json::object toJson(const ProcessIdentity &identity) {
  return {{"name", identity.Name},
          {"incarnation", identity.Incarnation},
          {"address", identity.Address}};
}

std::string stringField(const json::value &object, const char *name) {
  return json::value_to<std::string>(object.at(name));
}

ProcessIdentity parseIdentity(const json::value &object) {
  return {stringField(object, "name"), stringField(object, "incarnation"),
          stringField(object, "address")};
}

json::object toJson(const Order &order) {
  return {{"id", order.Id},
          {"engine", order.Engine},
          {"target_role", routing::toString(order.TargetRole)},
          {"epoch", order.Epoch},
          {"issuer", toJson(order.Issuer)}};
}

Order parseOrder(const json::value &object) {
  return {stringField(object, "id"), stringField(object, "engine"),
          routing::parseRole(stringField(object, "target_role")),
          object.at("epoch").to_number<uint64_t>(),
          parseIdentity(object.at("issuer"))};
}

} // namespace

std::string encodePlan(const PoolPlan &plan) {
  json::object engines;
  for (const auto &[name, assignment] : plan.Engines)
    engines[name] = json::object{{"role", routing::toString(assignment.Role)},
                                 {"draining", assignment.Draining}};
  json::array orders;
  for (const Order &it : plan.Unfinished)
    orders.push_back(toJson(it));
  return json::serialize(json::object{{"pool", plan.Pool},
                                      {"holder", toJson(plan.Holder)},
                                      {"epoch", plan.Epoch},
                                      {"renewals", plan.Renewals},
                                      {"engines", std::move(engines)},
                                      {"unfinished", std::move(orders)},
                                      {"write_id", plan.WriteId}});
}

PoolPlan decodePlan(const std::string &text) {
  json::value root = json::parse(text);
  PoolPlan plan;
  plan.Pool = stringField(root, "pool");
  plan.Holder = parseIdentity(root.at("holder"));
  plan.Epoch = root.at("epoch").to_number<uint64_t>();
  plan.Renewals = root.at("renewals").to_number<uint64_t>();
  for (const auto &it : root.at("engines").as_object())
    plan.Engines[std::string(it.key())] = {
        routing::parseRole(stringField(it.value(), "role")),
        it.value().at("draining").as_bool()};
  for (const json::value &it : root.at("unfinished").as_array())
    plan.Unfinished.push_back(parseOrder(it));
  plan.WriteId = stringField(root, "write_id");
  return plan;
}

PoolPlan takeOver(PoolPlan plan, const ProcessIdentity &newHolder) {
  plan.Holder = newHolder;
  ++plan.Epoch;
  plan.Renewals = 0;
  return plan;
}

PoolPlan recordOrder(PoolPlan plan, const Order &order) {
  if (unfinishedOrder(plan, order.Engine))
    throw Error(ErrorKind::Conflict,
                "engine " + order.Engine + " has an unfinished order",
                "wait until the order ends");
  plan.Unfinished.push_back(order);
  return plan;
}

PoolPlan endOrder(PoolPlan plan, const std::string &id, bool done) {
  auto it = std::find_if(plan.Unfinished.begin(), plan.Unfinished.end(),
                         [&](const Order &o) { return o.Id == id; });
  if (it == plan.Unfinished.end())
    return plan;
  Assignment &assignment = plan.Engines[it->Engine];
  if (done)
    assignment.Role = it->TargetRole;
  assignment.Draining = false;
  plan.Unfinished.erase(it);
  return plan;
}

std::optional<Order> unfinishedOrder(const PoolPlan &plan,
                                     const std::string &engine) {
  for (const Order &it : plan.Unfinished)
    if (it.Engine == engine)
      return it;
  return std::nullopt;
}

bool isFrozen(const PoolPlan &plan, const std::string &engine,
              bool checksFencing) {
  if (checksFencing)
    return false;
  std::optional<Order> order = unfinishedOrder(plan, engine);
  return order && order->Issuer.Incarnation != plan.Holder.Incarnation;
}

void ObservedLease::recordVersion(uint64_t version, MonoTime readEnd) {
  if (Version == version)
    return;
  Version = version;
  VersionSeenSince = readEnd;
}

bool ObservedLease::hasExpired(MonoTime now) const {
  return Version && now >= VersionSeenSince + Times.Duration + Times.Margin;
}

} // namespace sardineford::plan
