#include "StandIns/Deployment/PortAllocator.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace sardineford::standins {

namespace {

namespace asio = boost::asio;

constexpr const char *Loopback = "127.0.0.1";
/// Ports below the system's range of ephemeral ports, so that no outgoing
/// connection uses the port of a process while it restarts.
constexpr uint32_t FirstPort = 10'000;
constexpr uint32_t NumPorts = 22'000;
constexpr uint32_t NumStarts = 20'000;

} // namespace

PortAllocator::PortAllocator(uint32_t start) : Next(start * 131 % NumStarts) {}

http::Endpoint PortAllocator::next() {
  asio::io_context io;
  for (;;) {
    auto port = static_cast<uint16_t>(FirstPort + Next++ % NumPorts);
    asio::ip::tcp::acceptor probe(io);
    boost::system::error_code ec;
    probe.open(asio::ip::tcp::v4());
    probe.bind({asio::ip::make_address(Loopback), port}, ec);
    // Some processes also bind the port for UDP, which the TCP probe does not
    // detect.
    asio::ip::udp::socket datagrams(io, asio::ip::udp::v4());
    if (!ec)
      datagrams.bind({asio::ip::make_address(Loopback), port}, ec);
    if (!ec)
      return {Loopback, port};
  }
}

} // namespace sardineford::standins
