#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace sardineford::http {

/// Why a response was given up.
inline constexpr const char *MemoryExceeded =
    "the responses that are being received take too much memory, and this one "
    "the most";

/// Returns the index of the share to give up, the largest one, or nothing if
/// all together are within the limit.
std::optional<size_t> chooseShareToGiveUp(const std::vector<size_t> &bytes,
                                          size_t limit);

class MemoryShare;

/// A share that was given up.
struct GivenUpShare {
  size_t Bytes = 0;
  size_t AllBytes = 0;
  size_t Limit = 0;
  size_t Shares = 0;
};

/// Memory for the parts of messages that a process holds until they can be
/// used or forwarded: responses of servers, or bodies and unread responses of
/// callers. All messages share one limit, in bytes. Runs on one thread.
class ReceiveMemory {
public:
  /// `report` is called for each share that is given up, instead of a log line.
  explicit ReceiveMemory(
      size_t limit, std::function<void(const GivenUpShare &)> report = nullptr)
      : Limit(limit), Report(std::move(report)) {}
  ReceiveMemory(const ReceiveMemory &) = delete;
  ReceiveMemory &operator=(const ReceiveMemory &) = delete;

  /// Number of bytes that are held.
  size_t held() const { return Held; }
  /// Returns whether the shares that cannot be given up exceed the limit.
  bool isExceeded() const { return Held > Limit; }

private:
  friend class MemoryShare;

  /// Gives up the largest shares until the limit is kept.
  void enforceLimit();

  size_t Limit;
  std::function<void(const GivenUpShare &)> Report;
  size_t Held = 0;
  std::set<MemoryShare *> Shares;
};

/// The bytes that are held for one message.
class MemoryShare {
public:
  /// `onGivenUp` frees the bytes. It is called at most once.
  MemoryShare(ReceiveMemory &memory, std::function<void()> onGivenUp);
  ~MemoryShare();
  MemoryShare(const MemoryShare &) = delete;
  MemoryShare &operator=(const MemoryShare &) = delete;

  /// Sets the number of bytes. The share is given up if it is the largest one
  /// when the limit is exceeded, now or at a change of another share.
  void resize(size_t bytes);
  /// The share is counted but not given up before this time.
  void keepUntil(MonoTime t) { KeptUntil = t; }
  bool isGivenUp() const { return GivenUp; }

private:
  friend class ReceiveMemory;

  void setBytes(size_t bytes);

  ReceiveMemory &Memory;
  std::function<void()> OnGivenUp;
  size_t Bytes = 0;
  MonoTime KeptUntil{};
  bool GivenUp = false;
};

} // namespace sardineford::http
