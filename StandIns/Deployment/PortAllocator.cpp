#include "StandIns/Deployment/PortAllocator.h"

#include <boost/asio/ip/udp.hpp>

#include <fcntl.h>
#include <stdexcept>

namespace sardineford::standins {

namespace {

namespace asio = boost::asio;

constexpr const char *Loopback = "127.0.0.1";
/// Ports below the system's range of ephemeral ports, so that no outgoing
/// connection uses the port of a process while it restarts.
constexpr uint32_t FirstPort = 10'000;
constexpr uint32_t PortsOfRange = 200;
constexpr uint32_t NumRanges = 110;
/// Ports of processes that have ended are given out again after this many
/// ranges, which is more than one deployment needs.
constexpr size_t RangesBeforeReuse = 4;

uint16_t portOf(uint32_t range, uint32_t offset) {
  return static_cast<uint16_t>(FirstPort + range * PortsOfRange + offset);
}

} // namespace

PortAllocator::PortAllocator(uint32_t start) : Start(start) {}

bool PortAllocator::takeRange() {
  for (uint32_t i = 0; i < NumRanges; ++i) {
    uint32_t index = (Start + i) % NumRanges;
    asio::ip::tcp::acceptor guard(Io);
    boost::system::error_code ec;
    guard.open(asio::ip::tcp::v4());
    guard.bind({asio::ip::make_address(Loopback), portOf(index, 0)}, ec);
    if (ec)
      continue;
    // Processes that are started later must not keep the range.
    ::fcntl(guard.native_handle(), F_SETFD, FD_CLOEXEC);
    Ranges.push_back({std::move(guard), index});
    return true;
  }
  return false;
}

bool PortAllocator::isFree(uint16_t port) {
  asio::ip::tcp::acceptor probe(Io);
  boost::system::error_code ec;
  probe.open(asio::ip::tcp::v4());
  probe.bind({asio::ip::make_address(Loopback), port}, ec);
  // Some processes also bind the port for UDP, which the TCP probe does not
  // detect.
  asio::ip::udp::socket datagrams(Io, asio::ip::udp::v4());
  if (!ec)
    datagrams.bind({asio::ip::make_address(Loopback), port}, ec);
  return !ec;
}

http::Endpoint PortAllocator::next() {
  constexpr uint32_t UsablePorts = PortsOfRange - 1;
  for (uint32_t tried = 0;; ++tried) {
    auto known = static_cast<uint32_t>(Ranges.size()) * UsablePorts;
    bool allTried = tried >= known;
    bool isAtEnd = Position >= known && Ranges.size() < RangesBeforeReuse;
    if (allTried || isAtEnd) {
      if (takeRange())
        Position = known;
      else if (allTried)
        throw std::runtime_error("no loopback port is free; end processes that "
                                 "were left over");
    }
    Position %= static_cast<uint32_t>(Ranges.size()) * UsablePorts;
    uint16_t port = portOf(Ranges[Position / UsablePorts].Index,
                           1 + Position % UsablePorts);
    ++Position;
    if (isFree(port))
      return {Loopback, port};
  }
}

} // namespace sardineford::standins
