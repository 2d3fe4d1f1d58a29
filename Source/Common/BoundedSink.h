#pragma once

#include "Sardineford/Common/Time.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <functional>
#include <string>

namespace sardineford::log {

/// Writes lines to a file descriptor without blocking. A line that does not fit
/// in the pipe or exceeds the rate limit is dropped and counted; the next line
/// that fits is preceded by a line with the total of dropped lines.
class BoundedSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  /// Formats the line with the total of dropped lines.
  using DropFormatter = std::function<std::string(uint64_t dropped)>;

  BoundedSink(int descriptor, uint64_t bytesPerSecond,
              DropFormatter formatDropped);

  uint64_t dropped() const { return Dropped; }
  void setBytesPerSecond(uint64_t n) {
    BytesPerSecond = static_cast<double>(n);
  }

protected:
  void sink_it_(const spdlog::details::log_msg &msg) override;
  void flush_() override {}

private:
  bool send(const char *data, size_t n);
  void refill();

  int Descriptor;
  DropFormatter FormatDropped;
  double BytesPerSecond;
  /// Token bucket of the rate limit, in bytes.
  double AvailableBytes;
  MonoTime LastRefill;
  uint64_t Dropped = 0;
  /// Value of Dropped in the last line that reported it.
  uint64_t ReportedDropped = 0;
  /// Remainder of a partially written line; written before the next line.
  std::string Unwritten;
};

} // namespace sardineford::log
