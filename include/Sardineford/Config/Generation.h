#pragma once

#include "Sardineford/Config/Objects.h"
#include "Sardineford/Store/ObjectStore.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardineford::config {

/// One object of a generation, or the tombstone of a removed object.
struct Record {
  std::string Kind;
  std::string Name;
  std::string Text;
  /// Version of the object in the store.
  uint64_t Version = 0;
  /// Generation in which the object last changed.
  uint64_t ChangedIn = 0;
  bool Removed = false;
};

/// Changes from one generation to a later one.
struct Delta {
  /// Lowest generation to which the delta can be applied; 0 for a full
  /// snapshot.
  uint64_t Base = 0;
  uint64_t Generation = 0;
  std::vector<Record> Records;
};

/// The newest generation known to a process. The generation number never
/// decreases.
class GenerationState {
public:
  uint64_t generation() const { return Generation; }
  const Catalog &catalog() const { return Objects; }
  const std::map<std::string, Record> &records() const { return Records; }

  /// Applies a newer generation. Returns false and changes nothing if the delta
  /// is not newer, or if its base is newer than the current generation.
  bool apply(const Delta &delta);
  /// Returns the changes that a process with the given generation lacks.
  Delta deltaSince(uint64_t generation) const;

private:
  uint64_t Generation = 0;
  std::map<std::string, Record> Records;
  Catalog Objects;
};

/// Stored object that names the newest generation.
struct GenerationPointer {
  uint64_t Generation = 0;
  /// Names of the stored buckets that make up the generation.
  std::vector<std::string> Buckets;
  std::string WriteId;
  /// Validation errors because of which the newest edits were not published.
  std::vector<std::string> Rejected;
};

std::string encodePointer(const GenerationPointer &pointer);
GenerationPointer decodePointer(const std::string &text);

/// Reads the generation that the pointer names; the result is empty if there is
/// no pointer. Throws StoreError.
Awaitable<Delta> readNewestGeneration(store::ObjectStore &store);

/// Result of publish().
struct PublishResult {
  bool Published = false;
  uint64_t Generation = 0;
  std::vector<ValidationError> Errors;
};

/// Reads all objects, validates them as a whole and, if they are valid and
/// differ from the newest generation, writes a new generation and updates the
/// pointer. The conditional update of the pointer fences concurrent publishers:
/// only one of two can update the pointer. Each publisher reads the objects
/// after the pointer, so that no generation can hold an older state of an
/// object than the generation before. Throws StoreError.
Awaitable<PublishResult> publish(store::ObjectStore &store);

namespace kinds {
inline constexpr const char *Pointer = "Generation";
inline constexpr const char *Bucket = "GenerationBucket";
} // namespace kinds

inline constexpr const char *PointerName = "current";

} // namespace sardineford::config
