#include "Peers/FindingCodec.h"

#include "Messages/Messages.pb.h"

#include <algorithm>

namespace sardineford::peers {

namespace {

uint32_t ageOf(MonoTime time, MonoTime now) {
  return static_cast<uint32_t>(
      std::max<int64_t>(0, toMilliseconds(now - time).count()));
}

MonoTime timeOf(uint32_t ageMs, MonoTime now) {
  return now - Milliseconds(ageMs);
}

} // namespace

messages::LoadShare makeFindings() {
  messages::LoadShare out;
  // Earlier builds find nothing in the relay and drop the datagram.
  out.mutable_relay();
  out.mutable_findings();
  return out;
}

void encodePart(uint64_t part, const fleet::SuspectEvidence &evidence,
                MonoTime now, messages::LoadShare &out) {
  messages::PartFinding &p = *out.mutable_findings()->add_parts();
  p.set_part(part);
  p.set_was_sound(evidence.WasSound);
  p.set_use_age_ms(ageOf(evidence.LastUseAt, now));
  if (evidence.Trials > 0) {
    p.set_trials(evidence.Trials);
    p.set_trial_age_ms(ageOf(evidence.TriedAt, now));
  }
  for (const fleet::CrashSighting &it : evidence.Crashes) {
    messages::CrashFinding &crash = *p.add_crashes();
    crash.set_server(it.Server);
    crash.set_age_ms(ageOf(it.At, now));
    crash.set_refuted(it.Refuted);
  }
}

fleet::EvidenceBySuspect decodeParts(const messages::LoadShare &in,
                                     MonoTime now) {
  fleet::EvidenceBySuspect out;
  for (const messages::PartFinding &p : in.findings().parts()) {
    fleet::SuspectEvidence &e = out[p.part()];
    e.IsRequest = fleet::isRequest(p.part());
    e.WasSound = p.was_sound();
    e.LastUseAt = timeOf(p.use_age_ms(), now);
    e.Trials = p.trials();
    if (e.Trials > 0)
      e.TriedAt = timeOf(p.trial_age_ms(), now);
    for (const messages::CrashFinding &it : p.crashes())
      e.Crashes.push_back(
          {it.server(), timeOf(it.age_ms(), now), it.refuted()});
  }
  return out;
}

void encodeLimit(uint32_t server, const ServerLimit &limit, MonoTime now,
                 messages::LoadShare &out) {
  messages::LimitFinding &l = *out.mutable_findings()->add_limits();
  l.set_server(server);
  l.set_id(limit.Id);
  if (limit.Limit.PerSecond)
    l.set_per_second(*limit.Limit.PerSecond);
  l.set_age_ms(ageOf(limit.Limit.SeenAt, now));
}

LimitByServer decodeLimits(const messages::LoadShare &in, MonoTime now) {
  LimitByServer out;
  for (const messages::LimitFinding &it : in.findings().limits()) {
    ServerLimit &l = out[it.server()];
    l.Id = it.id();
    l.Limit.SeenAt = timeOf(it.age_ms(), now);
    if (it.has_per_second())
      l.Limit.PerSecond = it.per_second();
  }
  return out;
}

} // namespace sardineford::peers
