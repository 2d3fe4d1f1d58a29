#pragma once

#include "Sardineford/Config/Objects.h"
#include "Sardineford/Store/ObjectStore.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardineford::config {

/// One object of a generation, or a trace of its removal.
struct Record {
  std::string Kind;
  std::string Name;
  std::string Text;
  /// Version of the object in the store.
  uint64_t Version = 0;
  /// Generation in which the object changed last.
  uint64_t ChangedIn = 0;
  bool Removed = false;
};

/// Changes that lead from one generation to another.
struct Delta {
  /// Generation that the receiver must at least have; 0 for a whole set.
  uint64_t Base = 0;
  uint64_t Generation = 0;
  std::vector<Record> Records;
};

/// The newest generation that a process knows. Only grows.
class GenerationState {
public:
  uint64_t generation() const { return Generation; }
  const Catalog &catalog() const { return Objects; }
  const std::map<std::string, Record> &records() const { return Records; }

  /// Takes over a newer generation. Returns false, and changes nothing, when
  /// it is not newer or its base is not known here.
  bool apply(const Delta &d);
  /// What a process that has the given generation needs.
  Delta deltaSince(uint64_t generation) const;

private:
  uint64_t Generation = 0;
  std::map<std::string, Record> Records;
  Catalog Objects;
};

/// The object that names the newest generation.
struct GenerationPointer {
  uint64_t Generation = 0;
  /// Store names of the buckets that make up the generation.
  std::vector<std::string> Buckets;
  std::string WriteId;
  /// Errors of the newest edits that kept them from being published.
  std::vector<std::string> Rejected;
};

std::string encodePointer(const GenerationPointer &p);
GenerationPointer decodePointer(const std::string &text);

/// Reads the generation that the pointer names; empty when there is none.
/// Throws StoreError.
Awaitable<Delta> readNewestGeneration(store::ObjectStore &store);

/// Outcome of one attempt to publish.
struct PublishResult {
  bool Published = false;
  uint64_t Generation = 0;
  std::vector<ValidationError> Errors;
};

/// Reads all objects, checks the whole set and, if it differs from the newest
/// generation, writes a new one and moves the pointer. The conditional update
/// of the pointer is the fence: of two publishers only one can move it, and
/// each reads the objects after it read the pointer, so that no generation can
/// hold an older state of an object than the one before. Throws StoreError.
Awaitable<PublishResult> publish(store::ObjectStore &store);

namespace kinds {
inline constexpr const char *Pointer = "Generation";
inline constexpr const char *Bucket = "GenerationBucket";
} // namespace kinds

inline constexpr const char *PointerName = "current";

} // namespace sardineford::config
