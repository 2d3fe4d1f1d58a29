#pragma once

#include "Sardineford/Config/Generation.h"
#include "Sardineford/Config/Objects.h"
#include "Sardineford/Store/ObjectStore.h"

#include <optional>
#include <string>
#include <vector>

namespace sardineford::control {

/// An object as it stands in the store.
struct StoredObject {
  config::RawObject Object;
  uint64_t Version = 0;
};

/// All objects of the configuration, or those of one kind. Throws StoreError.
Awaitable<std::vector<StoredObject>> readObjects(store::ObjectStore &store,
                                                 std::string kind = "");

/// What an edit would do to one object.
struct PlannedEdit {
  config::RawObject Object;
  /// Version that the edit replaces; 0 creates.
  uint64_t Version = 0;
  bool Unchanged = false;
};

/// Checks edits against the whole set as it stands. Throws
/// Error(BadConfiguration) that lists every fault.
std::vector<PlannedEdit> planEdits(const std::vector<StoredObject> &present,
                                   const std::vector<config::RawObject> &edits);

/// Writes the edits, each only if its object is still at the version it was
/// planned on. Returns the new versions. Throws Error(Conflict) that names the
/// object, both versions and the remedy.
Awaitable<std::vector<StoredObject>> applyEdits(store::ObjectStore &store,
                                                std::vector<PlannedEdit> edits);

/// Removes an object. Throws Error(Conflict) or Error(NotFound).
Awaitable<void> removeObject(store::ObjectStore &store, std::string kind,
                             std::string name);

/// Generation that holds all these versions, or nothing yet. Throws
/// Error(BadConfiguration) when the edits were rejected.
Awaitable<std::optional<uint64_t>>
publishedIn(store::ObjectStore &store, std::vector<StoredObject> objects);

/// An EnginePool object with an engine added to, or taken from, a list of its
/// spec such as "drain". Throws Error(BadConfiguration).
config::RawObject editEngineList(const config::RawObject &pool,
                                 const std::string &list,
                                 const std::string &engine, bool add);

} // namespace sardineford::control
