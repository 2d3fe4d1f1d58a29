#include "StandIns/Platform/ConnectionCap.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>

namespace sardineford::standins {

namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

struct Forwarded {
  Forwarded(tcp::socket caller, IoContext &io, size_t &open)
      : Caller(std::move(caller)), Server(io), Open(open) {
    ++Open;
  }
  ~Forwarded() { --Open; }

  void close() {
    boost::system::error_code ec;
    Caller.close(ec);
    Server.close(ec);
  }

  tcp::socket Caller;
  tcp::socket Server;
  size_t &Open;
};

Awaitable<void> copy(std::shared_ptr<Forwarded> f, bool toServer) {
  tcp::socket &from = toServer ? f->Caller : f->Server;
  tcp::socket &to = toServer ? f->Server : f->Caller;
  std::array<char, 4096> buf{};
  for (;;) {
    auto [ec, n] = co_await from.async_read_some(asio::buffer(buf),
                                                 asio::as_tuple(use_awaitable));
    if (ec)
      break;
    auto [failed, sent] = co_await asio::async_write(
        to, asio::buffer(buf, n), asio::as_tuple(use_awaitable));
    if (failed)
      break;
  }
  f->close();
}

tcp::endpoint toAsio(const http::Endpoint &e) {
  return {asio::ip::make_address(e.Host), e.Port};
}

} // namespace

Awaitable<void> capConnections(IoContext &io, http::Endpoint listen,
                               http::Endpoint target, size_t maxConnections) {
  tcp::acceptor acceptor(io, toAsio(listen));
  size_t open = 0;
  for (;;) {
    tcp::socket caller = co_await acceptor.async_accept(use_awaitable);
    if (open >= maxConnections) {
      boost::system::error_code ec;
      caller.set_option(asio::socket_base::linger(true, 0), ec);
      caller.close(ec);
      continue;
    }
    auto f = std::make_shared<Forwarded>(std::move(caller), io, open);
    auto [failed] = co_await f->Server.async_connect(
        toAsio(target), asio::as_tuple(use_awaitable));
    if (failed)
      continue;
    spawn(io, "to-server", [f] { return copy(f, true); });
    spawn(io, "to-caller", [f] { return copy(f, false); });
  }
}

} // namespace sardineford::standins
