#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Common/Error.h"
#include "Sardineford/Metrics/Metrics.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardineford::store {

/// One value of the platform's object API. Versions of one object only grow;
/// version 0 stands for an object that does not exist.
struct Object {
  std::string Kind;
  std::string Name;
  uint64_t Version = 0;
  std::string Value;
};

/// Objects of one kind and the store's revision at which they were read.
struct ObjectList {
  uint64_t Revision = 0;
  std::vector<Object> Objects;
};

/// What a watch saw: objects that changed after a revision. A removed object
/// has version 0.
struct Changes {
  uint64_t Revision = 0;
  std::vector<Object> Objects;
};

enum class Failure {
  /// The call had no effect.
  Unavailable,
  /// The store limits its rate; the call had no effect.
  RateLimited,
  /// A write may or may not have taken effect.
  Ambiguous,
  /// The object's version is not the expected one.
  VersionConflict,
  /// The changes after the revision are not kept any more; read all again.
  HistoryExpired,
};

/// A call to the store failed.
class StoreError : public Error {
public:
  StoreError(Failure failure, const std::string &message);

  Failure Reason;
};

/// Calls made by one process.
struct CallCounts {
  uint64_t Gets = 0;
  uint64_t Lists = 0;
  uint64_t Puts = 0;
  uint64_t Removes = 0;
  uint64_t Watches = 0;
  /// Of all these, calls at which the store failed.
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
  /// Writes if the object's version is the expected one; 0 creates. Returns
  /// the new version.
  virtual Awaitable<uint64_t> put(std::string kind, std::string name,
                                  std::string value, uint64_t expected) = 0;
  /// Removes if the object's version is the expected one.
  virtual Awaitable<void> remove(std::string kind, std::string name,
                                 uint64_t expected) = 0;
  /// Waits until an object of the kind changes after the revision, or until
  /// the wait ends; then the list is empty.
  virtual Awaitable<Changes> watch(std::string kind, uint64_t after,
                                   Milliseconds wait) = 0;

protected:
  CallCounts Counts;
};

/// Serves the counts among a process's metrics.
void registerCounts(metrics::Metrics &metrics, const ObjectStore &store);

} // namespace sardineford::store
