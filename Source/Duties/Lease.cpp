#include "Sardineford/Duties/Lease.h"

#include "Sardineford/Store/Version.h"

#include <boost/json.hpp>

#include <algorithm>

namespace sardineford::duties {

namespace json = boost::json;

namespace {

/// Epochs of an era of the store begin at this multiple of its number, so that
/// they are above all of the earlier eras. A takeover every 4 s fills the range
/// in 48 days.
constexpr unsigned EpochBitsPerEra = 20;
/// A holder's validity exceeds the platform's lease by this time.
constexpr Milliseconds DurationMargin{1'000};

void recordEra(LeaseState &state, uint64_t version, BootTime now) {
  uint64_t era = store::eraOf(version);
  if (state.Era == era)
    return;
  state.Era = era;
  state.EraSeenAt = now;
}

void setLost(LeaseState &state) {
  state.IsHolder = false;
  state.ValidUntil = {};
}

bool isReleased(const LeaseState &state) {
  return state.Record.ReleasedInEra && state.Record.ReleasedInEra == state.Era;
}

} // namespace

LeaseTimes leaseTimes(Milliseconds platformLease) {
  LeaseTimes out;
  out.PlatformLease = platformLease;
  out.Duration = platformLease + DurationMargin;
  return out;
}

std::string encodeLease(const LeaseRecord &record) {
  json::array pending;
  for (const FixedReport &it : record.Pending)
    pending.push_back({{"window", it.Window}, {"body", it.Body}});
  json::object out = {
      {"holder", record.Holder},        {"incarnation", record.Incarnation},
      {"epoch", record.Epoch},          {"renewals", record.Renewals},
      {"call_open", record.CallOpen},   {"era", record.Era},
      {"last_fixed", record.LastFixed}, {"pending", pending},
      {"write_id", record.WriteId}};
  json::array orders;
  for (const PlacedOrder &it : record.Orders)
    orders.push_back({{"service", it.Service},
                      {"failure_domain", it.FailureDomain},
                      {"servers", it.Servers}});
  out["orders"] = orders;
  if (record.ReleasedInEra)
    out["released_in_era"] = *record.ReleasedInEra;
  return json::serialize(out);
}

LeaseRecord decodeLease(const std::string &text) {
  json::value value = json::parse(text);
  const json::object &in = value.as_object();
  LeaseRecord out;
  out.Holder = json::value_to<std::string>(in.at("holder"));
  out.Incarnation = json::value_to<std::string>(in.at("incarnation"));
  out.Epoch = in.at("epoch").to_number<uint64_t>();
  out.Renewals = in.at("renewals").to_number<uint64_t>();
  out.CallOpen = in.at("call_open").as_bool();
  if (const json::value *era = in.if_contains("released_in_era"))
    out.ReleasedInEra = era->to_number<uint64_t>();
  out.Era = in.at("era").to_number<uint64_t>();
  out.LastFixed = in.at("last_fixed").to_number<int64_t>();
  for (const json::value &it : in.at("pending").as_array())
    out.Pending.push_back({it.at("window").to_number<int64_t>(),
                           json::value_to<std::string>(it.at("body"))});
  if (const json::value *orders = in.if_contains("orders"))
    for (const json::value &it : orders->as_array())
      out.Orders.push_back(
          {json::value_to<std::string>(it.at("service")),
           json::value_to<std::string>(it.at("failure_domain")),
           it.at("servers").to_number<unsigned>()});
  out.WriteId = json::value_to<std::string>(in.at("write_id"));
  return out;
}

bool mayCall(const LeaseState &state, BootTime now) {
  return state.IsHolder && state.IsRecordKnown && state.Record.CallOpen &&
         !state.IsFenced && now >= state.SilentUntil && now < state.ValidUntil;
}

bool mayCallBeOpen(const LeaseState &state, const LeaseTimes &times,
                   BootTime now) {
  return now < state.SilentUntil ||
         (state.LastCallAt && now < *state.LastCallAt + times.LateExecution);
}

bool mayTakeOver(const LeaseState &state, const LeaseTimes &times,
                 unsigned rank, BootTime now) {
  if (state.IsHolder || !state.IsRecordKnown || rank >= Contenders)
    return false;
  // Otherwise calls of this process would stand on both sides of those of a
  // holder in between.
  if (state.LastCallAt &&
      now < *state.LastCallAt + times.LateExecution + times.PlatformLease)
    return false;
  Milliseconds wait = times.RankDelay * rank;
  if (state.Version != 0 && !isReleased(state))
    wait += times.Duration + times.Margin;
  return now >= state.VersionSeenAt + wait;
}

LeaseRecord makeTakeover(const LeaseState &state) {
  LeaseRecord out = state.Record;
  // The era of the store is known only after the object has been written.
  if (state.Version == 0) {
    out = {};
    out.Epoch = state.HighestEpoch;
    out.CallOpen = state.HighestEpoch > 0;
    return out;
  }
  out.Holder = state.Name;
  out.Incarnation = state.Incarnation;
  out.Epoch = std::max({state.Record.Epoch, state.HighestEpoch,
                        state.Era.value_or(0) << EpochBitsPerEra}) +
              1;
  out.Renewals = 0;
  // An old copy does not tell what the last holder did.
  out.CallOpen = out.CallOpen || out.Era != state.Era;
  out.ReleasedInEra.reset();
  return out;
}

LeaseRecord makeRenewal(const LeaseState &state, const LeaseTimes &times,
                        bool callPlanned, BootTime now) {
  LeaseRecord out = state.Record;
  ++out.Renewals;
  out.CallOpen = callPlanned || mayCallBeOpen(state, times, now);
  return out;
}

LeaseRecord makeRelease(const LeaseState &state, const LeaseTimes &times,
                        BootTime now) {
  LeaseRecord out = makeRenewal(state, times, false, now);
  out.ReleasedInEra = state.Era;
  return out;
}

void applyRead(LeaseState &state, const LeaseTimes &times,
               const LeaseRecord &record, uint64_t version, BootTime now) {
  std::optional<uint64_t> formerEra = state.Era;
  if (version != 0)
    recordEra(state, version, now);
  bool isOwn = version != 0 && record.Incarnation == state.Incarnation &&
               !record.ReleasedInEra && record.Epoch >= state.HighestEpoch &&
               (!formerEra || formerEra == state.Era);
  if (!isOwn)
    setLost(state);
  // An earlier write may still be executed and change the record. It cannot
  // after the next conditional write has succeeded.
  state.ValidUntil = {};
  // A takeover whose outcome was unknown has succeeded.
  if (isOwn && !state.IsHolder) {
    state.IsHolder = true;
    state.IsFenced = false;
    state.SilentUntil = record.CallOpen ? now + times.LateExecution : now;
  }
  if (state.Version != version || state.VersionSeenAt == BootTime{})
    state.VersionSeenAt = now;
  state.HighestEpoch = std::max(state.HighestEpoch, record.Epoch);
  state.IsRecordKnown = true;
  state.Record = record;
  state.Version = version;
}

void applyWritten(LeaseState &state, const LeaseTimes &times,
                  const LeaseRecord &record, uint64_t version,
                  BootTime writeStart, BootTime now) {
  bool wasRestored =
      state.Version != 0 && state.Era && store::eraOf(version) != *state.Era;
  recordEra(state, version, now);
  state.HighestEpoch = std::max(state.HighestEpoch, record.Epoch);
  // The write has replaced the object of another era that had the same
  // revision by chance.
  if (wasRestored) {
    setLost(state);
    state.IsRecordKnown = false;
    return;
  }
  bool isTakeover = !state.IsHolder;
  state.Record = record;
  state.Version = version;
  state.VersionSeenAt = now;
  state.IsRecordKnown = true;
  if (record.Incarnation != state.Incarnation || record.ReleasedInEra) {
    setLost(state);
    return;
  }
  state.IsHolder = true;
  state.ValidUntil = writeStart + times.Duration;
  if (!isTakeover)
    return;
  state.IsFenced = false;
  state.SilentUntil = record.CallOpen ? now + times.LateExecution : now;
}

int64_t lastFixedWindow(const LeaseRecord &record, uint64_t era,
                        int64_t windowOfEra) {
  bool isOldCopy = record.LastFixed == 0 || record.Era != era;
  return isOldCopy ? std::max(record.LastFixed, windowOfEra) : record.LastFixed;
}

void applyUnknownWrite(LeaseState &state) { state.IsRecordKnown = false; }

void applyFenced(LeaseState &state) { state.IsFenced = true; }

} // namespace sardineford::duties
