#include "Sardineford/Http/Client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace sardineford;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr const char *Body = "id: 1\ndata: a\n\n";
constexpr const char *Informational =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
    "</x>\r\n\r\n";
constexpr const char *Head = "HTTP/1.1 200 OK\r\nRequest-Id: 9c41d0\r\n"
                             "Content-Type: text/event-stream\r\n";

struct Form {
  std::string Bytes;
  /// Cuts at this offset or later leave a response that is complete.
  size_t CompleteFrom = 0;
};

/// Returns a response in each way to tell its end.
std::vector<Form> makeForms(const std::string &before) {
  std::string head = before + Head;
  std::string counted =
      head + "Content-Length: " + std::to_string(std::string(Body).size()) +
      "\r\n\r\n" + Body;
  std::string chunked =
      head + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + Body + "\r\n0\r\n\r\n";
  std::string untilClose = head + "\r\n" + Body;
  // Without a length the end of the connection is the end of the response.
  return {{counted, counted.size()},
          {chunked, chunked.size()},
          {untilClose, head.size() + 2}};
}

/// Answers the given number of requests of a connection with a sound response
/// and the next one with the bytes, and then ends the connection.
class CuttingServer {
public:
  explicit CuttingServer(IoContext &io)
      : Acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    spawn(io, "cutting-server", [this] { return serve(); });
  }

  http::Endpoint at() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  std::string Bytes;
  int SoundResponses = 0;
  bool Resets = false;

private:
  Awaitable<void> serve() {
    for (;;) {
      tcp::socket socket = co_await Acceptor.async_accept(use_awaitable);
      co_await serveConnection(socket);
    }
  }

  Awaitable<void> serveConnection(tcp::socket &socket) {
    const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::string in;
    for (;;) {
      auto [ec, n] = co_await boost::asio::async_read_until(
          socket, boost::asio::dynamic_buffer(in), "\r\n\r\n",
          boost::asio::as_tuple(use_awaitable));
      if (ec)
        co_return;
      in.erase(0, n);
      bool isSound = SoundResponses > 0;
      SoundResponses -= isSound ? 1 : 0;
      co_await boost::asio::async_write(
          socket, boost::asio::buffer(isSound ? sound : Bytes),
          boost::asio::as_tuple(use_awaitable));
      if (isSound)
        continue;
      if (Resets)
        socket.set_option(boost::asio::socket_base::linger(true, 0));
      co_return;
    }
  }

  tcp::acceptor Acceptor;
};

/// Cuts a response at each offset and returns those at which a call was
/// complete although the response was not.
std::vector<size_t> findFalseSuccesses(const Form &form, bool resets,
                                       bool reusesConnection) {
  std::vector<size_t> out;
  IoContext io(1);
  CuttingServer server(io);
  http::Client client(io);
  server.Resets = resets;
  spawn(io, "caller", [&]() -> Awaitable<void> {
    for (size_t cut = 0; cut < form.CompleteFrom; ++cut) {
      server.Bytes = form.Bytes.substr(0, cut);
      server.SoundResponses = reusesConnection ? 1 : 0;
      bool isComplete = false;
      try {
        http::CallOptions options;
        options.ResendOnStale = false;
        http::Request request;
        if (reusesConnection)
          co_await client.call(server.at(), request, options);
        co_await client.call(server.at(), request, options);
        isComplete = true;
      } catch (const http::TransportError &) {
        isComplete = false;
      }
      if (isComplete)
        out.push_back(cut);
    }
    io.stop();
  });
  io.run();
  return out;
}

} // namespace

TEST_CASE("a response that is cut in its head or body is not complete") {
  for (const char *before : {"", Informational})
    for (const Form &form : makeForms(before))
      for (bool resets : {false, true})
        for (bool reuses : {false, true}) {
          INFO(form.Bytes << ", reset " << resets << ", reused " << reuses);
          CHECK(findFalseSuccesses(form, resets, reuses) ==
                std::vector<size_t>{});
        }
}
