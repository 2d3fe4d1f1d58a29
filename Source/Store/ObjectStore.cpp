#include "Sardineford/Store/ObjectStore.h"

namespace sardineford::store {

StoreError::StoreError(Failure failure, const std::string &message)
    : Error(failure == Failure::VersionConflict ? ErrorKind::Conflict
            : failure == Failure::Ambiguous     ? ErrorKind::StoreAmbiguous
                                                : ErrorKind::StoreUnavailable,
            message,
            failure == Failure::VersionConflict
                ? "read the object again and repeat the change"
                : "try again later; check the platform's object API"),
      Reason(failure) {}

void registerCounts(metrics::Metrics &metrics, const ObjectStore &store) {
  auto add = [&](const char *call, const uint64_t CallCounts::*n) {
    metrics.gauge(
        "sardineford_store_calls_total", {{"call", call}},
        [&store, n] { return static_cast<double>(store.counts().*n); });
  };
  add("get", &CallCounts::Gets);
  add("list", &CallCounts::Lists);
  add("put", &CallCounts::Puts);
  add("remove", &CallCounts::Removes);
  add("watch", &CallCounts::Watches);
  add("failed", &CallCounts::Failures);
}

} // namespace sardineford::store
