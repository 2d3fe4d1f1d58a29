#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Common/Error.h"
#include "Sardineford/Metrics/Metrics.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardineford::store {

/// One object of the platform's object API. The version of an object only
/// increases, also when the store comes back from an older copy (Version.h);
/// version 0 denotes an object that does not exist.
struct Object {
  std::string Kind;
  std::string Name;
  uint64_t Version = 0;
  std::string Value;
};

/// All objects of one kind and the store revision at which they were read.
struct ObjectList {
  uint64_t Revision = 0;
  std::vector<Object> Objects;
};

/// Result of a watch: the objects that changed after a revision. A removed
/// object has version 0.
struct Changes {
  uint64_t Revision = 0;
  std::vector<Object> Objects;
};

/// Reason why a call to the store failed.
enum class Failure {
  /// The call had no effect.
  Unavailable,
  /// The store rejected the call because of its rate limit; the call had no
  /// effect.
  RateLimited,
  /// A write may or may not have taken effect.
  Ambiguous,
  /// The object does not have the expected version.
  VersionConflict,
  /// The store no longer keeps the changes after the revision; the objects must
  /// be listed again.
  HistoryExpired,
};

/// Thrown when a call to the store fails.
class StoreError : public Error {
public:
  StoreError(Failure failure, const std::string &message);

  Failure Reason;
  /// The connection ended before the response. A store that is well may cut off
  /// a watch that is waiting.
  bool ConnectionEnded = false;
};

/// Number of calls that this process has made to the store.
struct CallCounts {
  uint64_t Gets = 0;
  uint64_t Lists = 0;
  uint64_t Puts = 0;
  uint64_t Removes = 0;
  uint64_t Watches = 0;
  /// Calls of any type that failed because of the store. Version conflicts and
  /// expired history do not count.
  uint64_t Failures = 0;
};

/// The platform's object API. Every call may throw StoreError.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  const CallCounts &counts() const { return Counts; }

  virtual Awaitable<std::optional<Object>> get(std::string kind,
                                               std::string name) = 0;
  virtual Awaitable<ObjectList> list(std::string kind) = 0;
  /// Writes the object if its version is `expected`; 0 creates the object.
  /// Returns the new version.
  virtual Awaitable<uint64_t> put(std::string kind, std::string name,
                                  std::string value, uint64_t expected) = 0;
  /// Removes the object if its version is `expected`.
  virtual Awaitable<void> remove(std::string kind, std::string name,
                                 uint64_t expected) = 0;
  /// Waits until an object of the kind changes after the revision, for at most
  /// `wait`. The list of changes is empty if the wait time passes.
  virtual Awaitable<Changes> watch(std::string kind, uint64_t after,
                                   Milliseconds wait) = 0;

protected:
  CallCounts Counts;
};

/// Registers the call counts as metrics of the process.
void registerCounts(metrics::Metrics &metrics, const ObjectStore &store);

} // namespace sardineford::store
