#pragma once

#include "Sardineford/Store/ObjectStore.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardineford::once {

enum class RecordState {
  /// Written before the first byte went to the backend server.
  Recorded,
  /// The call ended and the answer is kept.
  Answered,
  /// The call was given up before any byte was sent; it may run anew.
  Released,
  /// Bytes were sent and no answer came; it must never run again.
  Unknown,
};

/// The answer of a call, kept for a retry that arrives elsewhere.
struct StoredResponse {
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
  /// The body was too large to keep; Body holds its digest.
  bool IsDigest = false;
};

/// What stands in the store for one idempotency key.
struct OnceRecord {
  RecordState State = RecordState::Recorded;
  std::string OwnerName;
  std::string OwnerIncarnation;
  /// Address of the owner for calls between the system's processes.
  std::string OwnerAddress;
  /// Hash of the request, so that a key is not used for two requests.
  uint64_t RequestHash = 0;
  /// Wall clock time of the write, for expiry, in milliseconds.
  int64_t WrittenMs = 0;
  std::string WriteId;
  StoredResponse Response;
};

std::string encodeRecord(const OnceRecord &r);
OnceRecord decodeRecord(const std::string &text);

/// A record and the version at which it stands.
struct VersionedRecord {
  OnceRecord Record;
  uint64_t Version = 0;
};

/// Keeps the records of calls that must run at most once.
class OnceStore {
public:
  virtual ~OnceStore() = default;

  /// Throws StoreError.
  virtual Awaitable<std::optional<VersionedRecord>> read(std::string key) = 0;
  /// Writes if the record stands at the version; 0 creates. Returns the new
  /// version. Settles lost replies until the deadline. Throws StoreError.
  virtual Awaitable<uint64_t> write(std::string key, OnceRecord record,
                                    uint64_t version, MonoTime deadline) = 0;
};

/// One object of the store for each key.
class ObjectOnceStore : public OnceStore {
public:
  explicit ObjectOnceStore(store::ObjectStore &store) : Store(store) {}

  Awaitable<std::optional<VersionedRecord>> read(std::string key) override;
  Awaitable<uint64_t> write(std::string key, OnceRecord record,
                            uint64_t version, MonoTime deadline) override;

private:
  store::ObjectStore &Store;
};

/// Largest answer that a record keeps whole, in bytes.
inline constexpr size_t MaxStoredResponseBytes = size_t{256} * 1024;

/// Prepares an answer for its record: too large ones become a digest.
StoredResponse makeStoredResponse(unsigned status, std::string contentType,
                      std::string body);

} // namespace sardineford::once
