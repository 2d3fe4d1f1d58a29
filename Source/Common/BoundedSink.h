#pragma once

#include "Sardineford/Common/Time.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <functional>
#include <string>

namespace sardineford::log {

/// Writes lines to a descriptor without waiting for its reader. A line that
/// does not fit the pipe, or the bytes allowed for a second, is dropped and
/// counted; the next line that fits is preceded by one with the count.
class BoundedSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  /// Writes the line that tells how many were dropped so far.
  using DropNote = std::function<std::string(uint64_t dropped)>;

  BoundedSink(int descriptor, uint64_t bytesPerSecond, DropNote note);

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
  DropNote Note;
  double BytesPerSecond;
  double Allowance;
  MonoTime Refilled;
  uint64_t Dropped = 0;
  uint64_t Reported = 0;
  /// Rest of a line that the pipe took only a part of.
  std::string Rest;
};

} // namespace sardineford::log
