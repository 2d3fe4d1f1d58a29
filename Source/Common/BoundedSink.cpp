#include "Common/BoundedSink.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace sardineford::log {

namespace {

/// Bytes that may be written at once after a quiet time, in seconds of the
/// rate.
constexpr double BurstSeconds = 4;

} // namespace

BoundedSink::BoundedSink(int descriptor, uint64_t bytesPerSecond, DropNote note)
    : Descriptor(descriptor), Note(std::move(note)),
      BytesPerSecond(static_cast<double>(bytesPerSecond)),
      Allowance(BytesPerSecond * BurstSeconds), Refilled(MonoClock::now()) {
  int flags = ::fcntl(Descriptor, F_GETFL);
  if (flags >= 0)
    ::fcntl(Descriptor, F_SETFL, flags | O_NONBLOCK);
}

void BoundedSink::refill() {
  MonoTime now = MonoClock::now();
  Allowance = std::min(BytesPerSecond * BurstSeconds,
                       Allowance + BytesPerSecond * toSeconds(now - Refilled));
  Refilled = now;
}

/// Returns false when the reader is behind and nothing was taken.
bool BoundedSink::send(const char *data, size_t n) {
  if (!Rest.empty()) {
    ssize_t put = ::write(Descriptor, Rest.data(), Rest.size());
    if (put > 0)
      Rest.erase(0, static_cast<size_t>(put));
    if (!Rest.empty())
      return false;
  }
  ssize_t put = ::write(Descriptor, data, n);
  if (put < 0)
    return false;
  Rest.assign(data + put, n - static_cast<size_t>(put));
  return true;
}

void BoundedSink::sink_it_(const spdlog::details::log_msg &msg) {
  spdlog::memory_buf_t line;
  formatter_->format(msg, line);
  refill();
  auto size = static_cast<double>(line.size());
  if (Allowance < size) {
    ++Dropped;
    return;
  }
  if (Dropped > Reported) {
    std::string note = Note(Dropped) + "\n";
    if (send(note.data(), note.size()))
      Reported = Dropped;
  }
  if (send(line.data(), line.size()))
    Allowance -= size;
  else
    ++Dropped;
}

} // namespace sardineford::log
