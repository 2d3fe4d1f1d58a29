#pragma once

#include "Sardineford/Store/ObjectStore.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardineford::once {

/// Progress of a request with an idempotency key.
enum class RecordState {
  /// The record was written before the first byte was sent to the backend
  /// server.
  Recorded,
  /// The request was executed and its response is stored.
  Answered,
  /// The request failed before any byte was sent. A later attempt may execute
  /// the request.
  Released,
  /// Bytes were sent and no response was received. The request must never be
  /// executed again.
  Unknown,
};

/// Response to a request, stored so that a retry through another process gets
/// the same response.
struct StoredResponse {
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
  /// The body exceeded MaxStoredResponseBytes; Body holds its digest.
  bool IsDigest = false;
};

/// Stored record of one idempotency key.
struct OnceRecord {
  RecordState State = RecordState::Recorded;
  std::string OwnerName;
  std::string OwnerIncarnation;
  /// Address of the owner for RPCs between the processes of the system.
  std::string OwnerAddress;
  /// Hash of the request, to detect the reuse of a key for another request.
  uint64_t RequestHash = 0;
  /// Wall clock time of the write in milliseconds; used for expiry.
  int64_t WrittenMs = 0;
  std::string WriteId;
  StoredResponse Response;
};

std::string encodeRecord(const OnceRecord &record);
OnceRecord decodeRecord(const std::string &text);

/// A record and its version in the store.
struct VersionedRecord {
  OnceRecord Record;
  uint64_t Version = 0;
};

/// Stores the records of requests that must be executed at most once.
class OnceStore {
public:
  virtual ~OnceStore() = default;

  /// Returns the record, or nothing if the key has none. Throws StoreError.
  virtual Awaitable<std::optional<VersionedRecord>> read(std::string key) = 0;
  /// Writes the record if its stored version is `version`; 0 creates the
  /// record. Returns the new version. If the store's reply is lost, reads the
  /// record back until the outcome is known or the deadline passes. Throws
  /// StoreError.
  virtual Awaitable<uint64_t> write(std::string key, OnceRecord record,
                                    uint64_t version, MonoTime deadline) = 0;
};

/// Stores each record as one object of the object store.
class ObjectOnceStore : public OnceStore {
public:
  explicit ObjectOnceStore(store::ObjectStore &store) : Store(store) {}

  Awaitable<std::optional<VersionedRecord>> read(std::string key) override;
  Awaitable<uint64_t> write(std::string key, OnceRecord record,
                            uint64_t version, MonoTime deadline) override;

private:
  store::ObjectStore &Store;
};

/// Largest response body that a record stores in full.
inline constexpr size_t MaxStoredResponseBytes = size_t{256} * 1024;

/// Returns the response as stored in a record. A body larger than
/// MaxStoredResponseBytes is replaced by its digest.
StoredResponse makeStoredResponse(unsigned status, std::string contentType,
                                  std::string body);

} // namespace sardineford::once
