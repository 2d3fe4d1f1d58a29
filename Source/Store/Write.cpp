#include "Sardineford/Store/Write.h"

#include "Sardineford/Common/Random.h"

namespace sardineford::store {

namespace {

constexpr Milliseconds FirstReadBack{20};
constexpr Milliseconds LongestReadBack{500};

/// What a look at the object tells about an ambiguous write.
enum class Settled { Own, Other, Unchanged };

Settled judge(const std::optional<Object> &found, uint64_t expected,
              const IsOwnWrite &isOwn) {
  uint64_t version = found ? found->Version : 0;
  if (found && isOwn(found->Value))
    return Settled::Own;
  return version == expected ? Settled::Unchanged : Settled::Other;
}

} // namespace

Milliseconds Backoff::next() {
  constexpr int MaxShift = 10;
  Milliseconds d = First * (int64_t{1} << std::min(Failures, MaxShift));
  ++Failures;
  return jittered(std::min(d, Cap));
}

namespace {

/// Outcome of one conditional write, as a value.
struct Attempt {
  std::optional<uint64_t> Version;
  std::optional<Failure> Failed;
};

Awaitable<Attempt> tryPut(ObjectStore &store, const Object &o) {
  Attempt out;
  try {
    out.Version = co_await store.put(o.Kind, o.Name, o.Value, o.Version);
  } catch (const StoreError &e) {
    out.Failed = e.Reason;
  }
  co_return out;
}

/// Reads the object and judges an earlier ambiguous write.
Awaitable<Attempt> readBack(ObjectStore &store, const Object &o,
                            const IsOwnWrite &isOwn) {
  Attempt out;
  try {
    std::optional<Object> found = co_await store.get(o.Kind, o.Name);
    Settled s = judge(found, o.Version, isOwn);
    if (s == Settled::Own)
      out.Version = found->Version;
    if (s == Settled::Other)
      out.Failed = Failure::VersionConflict;
  } catch (const StoreError &) {
    out.Failed = Failure::Unavailable;
  }
  co_return out;
}

[[noreturn]] void throwConflict(const Object &o) {
  throw StoreError(Failure::VersionConflict,
                   o.Kind + "/" + o.Name + " was changed by another writer");
}

} // namespace

Awaitable<uint64_t> putWithReadBack(ObjectStore &store, Object object,
                               IsOwnWrite isOwn, MonoTime deadline) {
  Backoff backoff(FirstReadBack, LongestReadBack);
  Attempt first = co_await tryPut(store, object);
  if (first.Version)
    co_return *first.Version;
  if (*first.Failed == Failure::VersionConflict)
    throwConflict(object);
  if (*first.Failed != Failure::Ambiguous)
    throw StoreError(*first.Failed, "the store did not take the write of " +
                                        object.Kind + "/" + object.Name);
  for (;;) {
    Milliseconds wait = backoff.next();
    if (MonoClock::now() + wait >= deadline)
      throw StoreError(Failure::Ambiguous,
                       object.Kind + "/" + object.Name +
                           ": the outcome of a write is not known");
    co_await sleepFor(wait);
    Attempt seen = co_await readBack(store, object, isOwn);
    if (seen.Version)
      co_return *seen.Version;
    if (seen.Failed == Failure::VersionConflict)
      throwConflict(object);
    if (seen.Failed)
      continue;
    // The version is unchanged, so the same conditional write may be sent
    // again: of the two copies at most one can take effect.
    Attempt again = co_await tryPut(store, object);
    if (again.Version)
      co_return *again.Version;
  }
}

} // namespace sardineford::store
