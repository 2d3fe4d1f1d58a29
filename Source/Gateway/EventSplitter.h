#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sardineford::gateway {

/// Splits an event stream at event boundaries, so that a caller never receives
/// part of an event that another server may send again.
class EventSplitter {
public:
  /// Appends bytes and returns those of all complete events.
  std::string push(std::string_view bytes);
  /// Number of bytes of the last, incomplete event.
  size_t pending() const { return Buffer.size(); }
  /// Id of the last complete event that has one.
  std::optional<uint64_t> lastId() const { return LastId; }
  /// Number of complete events.
  uint64_t events() const { return Events; }
  /// Discards the incomplete event of an interrupted stream.
  void dropPending() { Buffer.clear(); }

private:
  /// Counts the events and records the last id.
  void recordEvents(std::string_view text);

  std::string Buffer;
  std::optional<uint64_t> LastId;
  uint64_t Events = 0;
};

} // namespace sardineford::gateway
