#include "Common/BoundedSink.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace sardineford::log {

namespace {

/// Size of a burst, in seconds at the rate limit.
constexpr double BurstSeconds = 4;

} // namespace

BoundedSink::BoundedSink(int descriptor, uint64_t bytesPerSecond,
                         DropFormatter formatDropped)
    : Descriptor(descriptor), FormatDropped(std::move(formatDropped)),
      BytesPerSecond(static_cast<double>(bytesPerSecond)),
      AvailableBytes(BytesPerSecond * BurstSeconds),
      LastRefill(MonoClock::now()) {
  int flags = ::fcntl(Descriptor, F_GETFL);
  if (flags >= 0)
    ::fcntl(Descriptor, F_SETFL, flags | O_NONBLOCK);
}

void BoundedSink::refill() {
  MonoTime now = MonoClock::now();
  AvailableBytes =
      std::min(BytesPerSecond * BurstSeconds,
               AvailableBytes + BytesPerSecond * toSeconds(now - LastRefill));
  LastRefill = now;
}

/// Writes the remainder of the previous line, then the given line. Returns
/// false if the pipe is full and no byte of the given line was written.
bool BoundedSink::send(const char *data, size_t n) {
  if (!Unwritten.empty()) {
    ssize_t written = ::write(Descriptor, Unwritten.data(), Unwritten.size());
    if (written > 0)
      Unwritten.erase(0, static_cast<size_t>(written));
    if (!Unwritten.empty())
      return false;
  }
  ssize_t written = ::write(Descriptor, data, n);
  if (written < 0)
    return false;
  Unwritten.assign(data + written, n - static_cast<size_t>(written));
  return true;
}

void BoundedSink::sink_it_(const spdlog::details::log_msg &msg) {
  spdlog::memory_buf_t line;
  formatter_->format(msg, line);
  refill();
  auto size = static_cast<double>(line.size());
  if (AvailableBytes < size) {
    ++Dropped;
    return;
  }
  if (Dropped > ReportedDropped) {
    std::string report = FormatDropped(Dropped) + "\n";
    if (send(report.data(), report.size()))
      ReportedDropped = Dropped;
  }
  if (send(line.data(), line.size()))
    AvailableBytes -= size;
  else
    ++Dropped;
}

} // namespace sardineford::log
