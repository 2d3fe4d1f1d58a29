#pragma once

#include "Sardineford/Config/Generation.h"
#include "Sardineford/Config/Objects.h"
#include "Sardineford/Store/ObjectStore.h"

#include <optional>
#include <string>
#include <vector>

namespace sardineford::control {

/// An object of the configuration and its version in the store.
struct StoredObject {
  config::RawObject Object;
  uint64_t Version = 0;
};

/// Returns all objects of the configuration, or those of one kind. Throws
/// StoreError.
Awaitable<std::vector<StoredObject>> readObjects(store::ObjectStore &store,
                                                 std::string kind = "");

/// An edit of one object and the version that it is based on.
struct PlannedEdit {
  config::RawObject Object;
  /// Version that the edit replaces; 0 creates the object.
  uint64_t Version = 0;
  bool Unchanged = false;
};

/// Validates the configuration that results from the edits. Throws
/// Error(BadConfiguration) that lists every validation error.
std::vector<PlannedEdit> planEdits(const std::vector<StoredObject> &current,
                                   const std::vector<config::RawObject> &edits);

/// Writes each edit only if its object still has the version that the edit is
/// based on. Returns the new versions. Throws Error(Conflict) that names the
/// object, both versions and the remedy.
Awaitable<std::vector<StoredObject>> applyEdits(store::ObjectStore &store,
                                                std::vector<PlannedEdit> edits);

/// Removes an object. Throws Error(Conflict), Error(NotFound), or
/// Error(BadConfiguration) if other objects refer to it.
Awaitable<void> removeObject(store::ObjectStore &store, std::string kind,
                             std::string name);

/// Returns the newest generation if it contains all these versions, or nothing
/// if they are not published yet. Throws Error(BadConfiguration) if the edits
/// were rejected.
Awaitable<std::optional<uint64_t>>
findPublishedGeneration(store::ObjectStore &store,
                        std::vector<StoredObject> objects);

/// Returns an EnginePool object with an engine added to, or removed from, a
/// list of its spec such as "drain".
config::RawObject editEngineList(const config::RawObject &pool,
                                 const std::string &list,
                                 const std::string &engine, bool add);

} // namespace sardineford::control
