#include "Sardineford/Store/Write.h"

#include "Sardineford/Common/Random.h"

namespace sardineford::store {

namespace {

constexpr Milliseconds FirstReadBackDelay{20};
constexpr Milliseconds MaxReadBackDelay{500};

/// State of an object after an ambiguous write, as found by a read.
enum class ReadBackState { OwnWrite, OtherWrite, Unchanged };

ReadBackState classify(const std::optional<Object> &found, uint64_t expected,
                       const IsOwnWrite &isOwn) {
  uint64_t version = found ? found->Version : 0;
  if (found && isOwn(found->Value))
    return ReadBackState::OwnWrite;
  return version == expected ? ReadBackState::Unchanged
                             : ReadBackState::OtherWrite;
}

} // namespace

Milliseconds Backoff::next() {
  constexpr int MaxShift = 10;
  Milliseconds delay = First * (int64_t{1} << std::min(Failures, MaxShift));
  ++Failures;
  return jittered(std::min(delay, Cap));
}

namespace {

/// Outcome of a conditional write. Neither member is set if the read-back found
/// the object unchanged.
struct WriteOutcome {
  std::optional<uint64_t> Version;
  std::optional<Failure> Reason;
};

Awaitable<WriteOutcome> tryPut(ObjectStore &store, const Object &object) {
  WriteOutcome out;
  try {
    out.Version = co_await store.put(object.Kind, object.Name, object.Value,
                                     object.Version);
  } catch (const StoreError &e) {
    out.Reason = e.Reason;
  }
  co_return out;
}

/// Reads the object back to determine the outcome of an ambiguous write.
Awaitable<WriteOutcome> readBack(ObjectStore &store, const Object &object,
                                 const IsOwnWrite &isOwn) {
  WriteOutcome out;
  try {
    std::optional<Object> found = co_await store.get(object.Kind, object.Name);
    ReadBackState state = classify(found, object.Version, isOwn);
    if (state == ReadBackState::OwnWrite)
      out.Version = found->Version;
    if (state == ReadBackState::OtherWrite)
      out.Reason = Failure::VersionConflict;
  } catch (const StoreError &) {
    out.Reason = Failure::Unavailable;
  }
  co_return out;
}

[[noreturn]] void throwConflict(const Object &object) {
  throw StoreError(Failure::VersionConflict,
                   object.Kind + "/" + object.Name +
                       " was changed by another writer");
}

} // namespace

Awaitable<uint64_t> putWithReadBack(ObjectStore &store, Object object,
                                    IsOwnWrite isOwn, MonoTime deadline) {
  Backoff backoff(FirstReadBackDelay, MaxReadBackDelay);
  WriteOutcome first = co_await tryPut(store, object);
  if (first.Version)
    co_return *first.Version;
  if (*first.Reason == Failure::VersionConflict)
    throwConflict(object);
  if (*first.Reason != Failure::Ambiguous)
    throw StoreError(*first.Reason, "the store did not execute the write of " +
                                        object.Kind + "/" + object.Name);
  for (;;) {
    Milliseconds delay = backoff.next();
    if (MonoClock::now() + delay >= deadline)
      throw StoreError(Failure::Ambiguous,
                       object.Kind + "/" + object.Name +
                           ": the outcome of the write is unknown");
    co_await sleepFor(delay);
    WriteOutcome found = co_await readBack(store, object, isOwn);
    if (found.Version)
      co_return *found.Version;
    if (found.Reason == Failure::VersionConflict)
      throwConflict(object);
    if (found.Reason)
      continue;
    // The version is unchanged, so the same conditional write can be sent
    // again: at most one of the two copies can take effect.
    WriteOutcome retry = co_await tryPut(store, object);
    if (retry.Version)
      co_return *retry.Version;
  }
}

} // namespace sardineford::store
