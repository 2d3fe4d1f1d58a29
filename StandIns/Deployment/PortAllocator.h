#pragma once

#include "Sardineford/Http/Message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <vector>

namespace sardineford::standins {

/// Gives out loopback ports to the processes of a deployment. Ports come in
/// ranges. An allocator keeps the first port of each of its ranges bound, so
/// that no other one gives out a port while the process that had it is down.
class PortAllocator {
public:
  /// The search begins at a place that depends on `start`.
  explicit PortAllocator(uint32_t start);

  /// Returns an endpoint whose port is free for TCP and UDP. Throws
  /// std::runtime_error if all are in use.
  http::Endpoint next();

private:
  struct Range {
    boost::asio::ip::tcp::acceptor Guard;
    uint32_t Index;
  };

  /// Takes a range that no other allocator has. Returns false if there is none.
  bool takeRange();
  bool isFree(uint16_t port);

  boost::asio::io_context Io;
  uint32_t Start;
  std::vector<Range> Ranges;
  /// Position in the ports of all ranges.
  uint32_t Position = 0;
};

} // namespace sardineford::standins
