#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sardineford::peers {

/// The software version that began a stream. A version is known by its hash: of
/// two versions with the same one, a stream may go on at the wrong one.
struct OriginRecord {
  uint64_t Stream = 0;
  uint32_t Version = 0;

  bool operator==(const OriginRecord &) const = default;
};

/// A record and the time at which its stream began or went on.
struct KnownOrigin {
  OriginRecord Record;
  MonoTime BeganAt;
};

uint64_t hashOfService(std::string_view service);
uint64_t hashOfStream(std::string_view service, std::string_view streamId);
uint32_t hashOfVersion(std::string_view version);

/// Longest life of a stream and the time in which callers come back.
constexpr Milliseconds OriginAge{630'000};
/// More than a process of a large fleet holds in this time.
constexpr size_t MaxOrigins = size_t{256} * 1024;

/// Versions of the streams that this process has begun or holds for others.
class OriginTable {
public:
  explicit OriginTable(size_t maxRecords = MaxOrigins)
      : MaxRecords(maxRecords) {}

  /// Adds or renews the record of a stream of this process.
  void putLocal(const OriginRecord &record, uint64_t service, MonoTime now);
  /// Adds or renews a record that a peer has sent.
  void putHeld(const OriginRecord &record, MonoTime now);
  /// Adds a record that another holder has given. One that is known is not
  /// renewed.
  void putHandedOver(const KnownOrigin &origin, MonoTime now);
  /// Returns the records that were sent or received, of streams that began
  /// within this time. Newest first.
  std::vector<KnownOrigin> recentRecords(Milliseconds age, MonoTime now) const;
  std::optional<uint32_t> find(uint64_t stream, MonoTime now) const;
  void erase(uint64_t stream) { Records.erase(stream); }
  /// Marks the streams of this process in a service as sent. Returns those that
  /// were not.
  std::vector<uint64_t> takeUnsent(uint64_t service, MonoTime now);
  void setSent(uint64_t stream);
  size_t size() const { return Records.size(); }

private:
  struct Record {
    uint32_t Version = 0;
    MonoTime PutAt;
    MonoTime BeganAt;
    /// Set for streams of this process.
    std::optional<uint64_t> Service;
    bool WasSent = false;
  };
  struct Put {
    MonoTime At;
    uint64_t Stream = 0;
  };

  Record &put(const OriginRecord &record, MonoTime now);

  size_t MaxRecords;
  std::unordered_map<uint64_t, Record> Records;
  /// In the order of their times. Those of records that were erased or renewed
  /// since remain until their turn.
  std::deque<Put> Puts;
};

} // namespace sardineford::peers
