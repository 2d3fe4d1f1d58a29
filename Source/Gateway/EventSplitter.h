#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sardineford::gateway {

/// Cuts an event stream at the ends of events, so that a caller never gets a
/// part of an event that another server may send again.
class EventSplitter {
public:
  /// Takes bytes; returns those of whole events.
  std::string push(std::string_view bytes);
  /// Bytes of an event whose end has not come.
  size_t pending() const { return Buffer.size(); }
  /// Id of the last whole event.
  std::optional<uint64_t> lastId() const { return LastId; }
  /// Number of whole events.
  uint64_t events() const { return Events; }
  /// Forgets the part of an event that a broken server left.
  void dropPending() { Buffer.clear(); }

private:
  void recordEvents(std::string_view whole);

  std::string Buffer;
  std::optional<uint64_t> LastId;
  uint64_t Events = 0;
};

} // namespace sardineford::gateway
