#include "Sardineford/Timeline/Recorder.h"

#include "Sardineford/Common/Error.h"

#include <boost/json.hpp>

#include <array>

namespace sardineford::timeline {

namespace json = boost::json;

namespace {

/// Number of low bits of a hybrid time that hold the counter.
constexpr int CounterBits = 16;

constexpr std::array<std::string_view, 32> KindNames = {
    "process-started", "process-stopping",     "process-stopped",
    "request-sent",    "request-accepted",     "request-refused",
    "request-done",    "request-failed",       "answer-received",
    "attempt-started", "attempt-ended",        "engine-accepted",
    "engine-finished", "engine-cut",           "engine-leaving",
    "engine-frozen",   "engine-thawed",        "order-recorded",
    "order-sent",      "order-done",           "order-ran",
    "order-ended",     "order-refused",        "lease-taken",
    "lease-lost",      "role-changed",         "once-recorded",
    "service-ran",     "generation-published", "generation-applied",
    "object-accepted", "fault-brought"};

static_assert(KindNames.size() ==
              static_cast<size_t>(EventKind::FaultBrought) + 1);

uint64_t wallClockTime() {
  auto ms = std::chrono::duration_cast<Milliseconds>(
      WallClock::now().time_since_epoch());
  return static_cast<uint64_t>(ms.count()) << CounterBits;
}

void addText(json::object &o, const char *name, const std::string &text) {
  if (!text.empty())
    o[name] = text;
}

void addNumber(json::object &o, const char *name, uint64_t n) {
  if (n != 0)
    o[name] = n;
}

} // namespace

std::string_view toString(EventKind k) {
  return KindNames[static_cast<size_t>(k)];
}

HybridTime HybridClock::now() {
  Last = std::max(Last + 1, wallClockTime());
  return {Last};
}

void HybridClock::observe(HybridTime received) {
  Last = std::max(Last, received.Value);
}

Recorder::Recorder(EventSource source, size_t capacity)
    : Source(std::move(source)), Capacity(capacity) {}

Recorder::~Recorder() {
  if (History)
    std::fclose(History);
}

void Recorder::openHistory(const std::string &file) {
  History = std::fopen(file.c_str(), "a");
  if (!History)
    throw Error(ErrorKind::BadSettings, file + ": cannot be written",
                "name a writable file in an existing folder");
}

void Recorder::record(Event e) {
  RecordedEvent r;
  r.At = Clock.now();
  r.MonotonicUs = std::chrono::duration_cast<Microseconds>(
                      MonoClock::now().time_since_epoch())
                      .count();
  r.Data = std::move(e);
  if (History) {
    std::string line = json::serialize(toObject(r)) + "\n";
    std::fwrite(line.data(), 1, line.size(), History);
    // Flushed per event, so that the history is complete if the process is
    // killed.
    std::fflush(History);
  }
  Ring.push_back(std::move(r));
  if (Ring.size() > Capacity) {
    Ring.pop_front();
    ++DroppedEvents;
  }
}

json::object Recorder::toObject(const RecordedEvent &r) const {
  const Event &e = r.Data;
  json::object o = {{"hlc", r.At.Value},
                    {"us", r.MonotonicUs},
                    {"process", Source.Process},
                    {"event", toString(e.Kind)}};
  addText(o, "instance", Source.Instance);
  addText(o, "domain", Source.FailureDomain);
  addText(o, "request", e.Request);
  addText(o, "attempt", e.Attempt);
  addText(o, "pool", e.Pool);
  addText(o, "engine", e.Engine);
  addText(o, "order", e.Order);
  addText(o, "key", e.Key);
  addNumber(o, "epoch", e.Epoch);
  addNumber(o, "generation", e.Generation);
  addText(o, "detail", e.Detail);
  return o;
}

std::string Recorder::toJson(HybridTime since) const {
  json::array events;
  for (const RecordedEvent &it : Ring)
    if (it.At > since)
      events.push_back(toObject(it));
  return json::serialize(json::object{{"process", Source.Process},
                                      {"overflowed", DroppedEvents},
                                      {"events", std::move(events)}});
}

} // namespace sardineford::timeline
