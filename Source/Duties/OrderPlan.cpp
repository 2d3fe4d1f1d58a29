#include "Duties/OrderPlan.h"

#include "Sardineford/Common/Log.h"

#include <algorithm>
#include <limits>

namespace sardineford::duties {

namespace {

/// Time until a rejected order is sent again: the platform may have no servers
/// at the moment.
constexpr Milliseconds RetryDelay{3'000};
/// Services of which work is remembered; those of one configuration are fewer.
constexpr size_t MaxServices = 1'000;

std::optional<unsigned> recordedNumber(const std::vector<PlacedOrder> &orders,
                                       const std::string &service,
                                       const std::string &domain) {
  for (const PlacedOrder &it : orders)
    if (it.Service == service && it.FailureDomain == domain)
      return it.Servers;
  return std::nullopt;
}

void setNumber(std::vector<PlacedOrder> &orders, const std::string &service,
               const DomainOrder &order) {
  for (PlacedOrder &it : orders)
    if (it.Service == service && it.FailureDomain == order.FailureDomain) {
      it.Servers = order.Servers;
      return;
    }
  orders.push_back({service, order.FailureDomain, order.Servers});
}

/// Returns the failure domains with servers, and those with an order.
std::vector<DomainServers> domainsOf(const OrderableService &service,
                                     const std::vector<PlacedOrder> &recorded) {
  std::map<std::string, unsigned> present = service.Present;
  for (const PlacedOrder &it : recorded)
    if (it.Service == service.Name)
      present.try_emplace(it.FailureDomain, 0);
  std::vector<DomainServers> out;
  out.reserve(present.size());
  for (const auto &[domain, n] : present)
    out.push_back({domain, n, recordedNumber(recorded, service.Name, domain)});
  return out;
}

} // namespace

void OrderPlan::merge(const std::string &incarnation,
                      const std::vector<ServiceWork> &work, MonoTime now) {
  for (const ServiceWork &it : work)
    if (Demand.contains(it.Service) || Demand.size() < MaxServices)
      Demand[it.Service].merge(incarnation, it.Done, now);
}

void OrderPlan::endInterval(MonoTime now) {
  for (auto &[service, demand] : Demand)
    demand.endInterval(now);
}

void OrderPlan::reset() { *this = {}; }

std::vector<PlacedOrder>
OrderPlan::decide(const std::vector<PlacedOrder> &recorded,
                  const std::vector<OrderableService> &services, BootTime now) {
  std::vector<PlacedOrder> out = recorded;
  for (const OrderableService &it : services) {
    auto demand = Demand.find(it.Name);
    if (demand == Demand.end())
      continue;
    ScalingInput in;
    in.Bounds = it.Bounds;
    in.SlotsPerServer = it.SlotsPerServer;
    in.Domains = domainsOf(it, recorded);
    in.PeakDemand = demand->second.peak(MonoClock::now());
    auto [changedAt, isNew] = ChangedAt.try_emplace(it.Name, now);
    in.SinceLastChange = toMilliseconds(now - changedAt->second);
    std::vector<DomainOrder> orders = decideServers(in);
    if (orders.empty())
      continue;
    changedAt->second = now;
    for (const DomainOrder &order : orders) {
      log::event(log::Category::Fleet, log::Level::Info, "servers_ordered",
                 {{"service", it.Name},
                  {"failure_domain", order.FailureDomain},
                  {"servers", order.Servers},
                  {"prefill_load", in.PeakDemand->PrefillLoad},
                  {"requests_in_flight", in.PeakDemand->RequestsInFlight}});
      setNumber(out, it.Name, order);
    }
  }
  return out;
}

std::optional<PlacedOrder>
OrderPlan::nextToSend(const std::vector<PlacedOrder> &recorded,
                      BootTime now) const {
  for (const PlacedOrder &it : recorded) {
    Subject subject{it.Service, it.FailureDomain};
    auto accepted = Accepted.find(subject);
    if (accepted != Accepted.end() && accepted->second == it.Servers)
      continue;
    auto retry = RetryAt.find(subject);
    if (retry == RetryAt.end() || now >= retry->second)
      return it;
  }
  return std::nullopt;
}

void OrderPlan::recordResult(const PlacedOrder &order, bool isDone,
                             BootTime now) {
  Subject subject{order.Service, order.FailureDomain};
  if (isDone)
    Accepted[subject] = order.Servers;
  else
    RetryAt[subject] = now + RetryDelay;
}

} // namespace sardineford::duties
