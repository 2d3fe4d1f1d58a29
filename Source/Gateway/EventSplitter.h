#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sardineford::gateway {

/// Longest event of a stream, in bytes.
inline constexpr size_t MaxEventBytes = size_t{256} * 1024;

/// Splits an event stream at event boundaries, so that a caller never receives
/// part of an event that another server may send again. Reads each byte once.
class EventSplitter {
public:
  /// Appends bytes and returns those of all complete events, up to the first
  /// one that does not belong to the stream.
  std::string push(std::string_view bytes);
  /// Returns whether something was received that is not the next event of the
  /// stream: without an id although others have one, or with one that does not
  /// increase. Nothing after it is returned until dropPending().
  bool isForeign() const { return Foreign; }
  /// Number of bytes of the last, incomplete event.
  size_t pending() const { return Buffer.size(); }
  /// Returns whether the incomplete event is longer than any may be.
  bool isTooLong() const { return Buffer.size() > MaxEventBytes; }
  /// Id of the last complete event that has one.
  std::optional<uint64_t> lastId() const { return LastId; }
  /// Number of complete events.
  uint64_t events() const { return Events; }
  /// Discards the incomplete event of an interrupted stream.
  void dropPending() {
    Buffer = {};
    LineStart = 0;
    Searched = 0;
    Foreign = false;
  }

private:
  /// Returns the end of the event that begins at the offset, 0 if it is
  /// incomplete. An event ends with an empty line; lines end with LF or CR LF.
  size_t findEnd(size_t eventStart);
  /// Counts an event and records its id. Returns false if it does not belong to
  /// the stream.
  bool recordEvent(std::string_view event);

  std::string Buffer;
  /// Begin of the first line that is incomplete.
  size_t LineStart = 0;
  /// The line does not end before this offset.
  size_t Searched = 0;
  bool Foreign = false;
  std::optional<uint64_t> LastId;
  uint64_t Events = 0;
};

} // namespace sardineford::gateway
