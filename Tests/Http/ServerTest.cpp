#include "Sardineford/Http/Server.h"
#include "Sardineford/Http/CallerBounds.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>

using namespace sardineford;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr Milliseconds ShortIdleTimeout{200};
constexpr Milliseconds IdleTime{400};

/// Connects, sends a request after the idle time and returns whether it gets a
/// response.
bool isServedAfterIdleTime(Milliseconds raisedTimeout) {
  IoContext io(1);
  http::ServerOptions options;
  options.Listen = {"127.0.0.1", 0};
  options.IdleTimeout = ShortIdleTimeout;
  http::Server server(io, options,
                      [](http::Request &, http::ResponseWriter &out) {
                        return out.send(http::Response());
                      });
  server.start();
  bool served = false;
  spawn(io, "caller", [&]() -> Awaitable<void> {
    tcp::socket socket(io);
    tcp::endpoint to(boost::asio::ip::make_address("127.0.0.1"), server.port());
    co_await socket.async_connect(to, use_awaitable);
    co_await sleepFor(ShortIdleTimeout / 2);
    server.setLimits(options.MaxHeaderBytes, options.MaxBodyBytes,
                     options.ReadTimeout, raisedTimeout);
    co_await sleepFor(IdleTime);
    std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    auto sending = boost::asio::buffer(request);
    co_await boost::asio::async_write(socket, sending,
                                      boost::asio::as_tuple(use_awaitable));
    std::array<char, 64> buf{};
    auto receiving = boost::asio::buffer(buf);
    auto [ec, n] = co_await socket.async_read_some(
        receiving, boost::asio::as_tuple(use_awaitable));
    served = !ec && n > 0;
    io.stop();
  });
  io.run();
  return served;
}

} // namespace

TEST_CASE("a raised idle timeout holds for connections that are idle already") {
  CHECK(isServedAfterIdleTime(Milliseconds(5'000)));
  CHECK_FALSE(isServedAfterIdleTime(ShortIdleTimeout));
}

namespace {

/// A server and one connection to it that the server has not accepted yet.
struct WaitingConnection {
  IoContext Io{1};
  int Handled = 0;
  http::Server Server{Io, options(),
                      [this](http::Request &, http::ResponseWriter &out) {
                        ++Handled;
                        return out.send(http::Response());
                      }};
  tcp::socket Socket{Io};

  WaitingConnection() {
    Server.start();
    Io.poll();
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Server.port()});
  }

  static http::ServerOptions options() {
    http::ServerOptions o;
    o.Listen = {"127.0.0.1", 0};
    return o;
  }

  void send(const std::string &bytes) {
    boost::asio::write(Socket, boost::asio::buffer(bytes));
  }

  void runFor(Milliseconds t) {
    Io.restart();
    Io.run_for(t);
  }

  bool hasResponse() { return Socket.available() > 0; }
};

constexpr Milliseconds ShortTime{250};

} // namespace

// Seen as callers without a response while a daemon stops.
TEST_CASE(
    "a request that arrived before the listening socket closes is served") {
  WaitingConnection c;
  c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  c.Server.stopAccepting();
  c.runFor(ShortTime);
  CHECK(c.hasResponse());
}

TEST_CASE("a request that is being received counts as open") {
  WaitingConnection c;
  c.send("GET / HTTP/1.1\r\nHo");
  c.runFor(ShortTime);
  CHECK(c.Server.openRequests() == 1);
  c.send("st: h\r\n\r\n");
  c.runFor(ShortTime);
  CHECK(c.hasResponse());
  CHECK(c.Server.openRequests() == 0);
}

TEST_CASE("connections without a request do not count as open") {
  WaitingConnection c;
  c.Server.stopAccepting();
  c.runFor(ShortTime);
  CHECK(c.Server.openRequests() == 0);
}

TEST_CASE("a request with a chunk header or trailer without an end is "
          "rejected") {
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char *begin : {"", "1;", "1\r\nx\r\n0\r\nX: "}) {
    INFO(begin);
    WaitingConnection c;
    c.send(head + begin + std::string(size_t{64} * 1024, 'a'));
    c.runFor(ShortTime);
    CHECK(c.hasResponse());
    CHECK(c.Server.openRequests() == 0);
  }
}

TEST_CASE("a request with chunk extensions and trailers of ordinary size is "
          "served") {
  WaitingConnection c;
  c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  std::string chunks;
  for (int i = 0; i < 2'000; ++i)
    chunks += "1;name=value\r\nx\r\n";
  c.send(chunks + "0\r\nChecksum: " + std::string(500, 'c') + "\r\n\r\n");
  c.runFor(ShortTime);
  CHECK(c.hasResponse());
  CHECK(c.Server.openRequests() == 0);
}

// Seen as a request that stood only in another one's body.
TEST_CASE("a request whose transfer coding does not end in chunked is rejected "
          "with all that follows") {
  for (const char *coding : {"gzip", "identity", "chunked, identity"}) {
    INFO(coding);
    WaitingConnection c;
    c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " +
           std::string(coding) +
           "\r\n\r\nPOST /inner HTTP/1.1\r\nHost: h\r\n"
           "Content-Length: 0\r\n\r\n");
    c.runFor(ShortTime);
    CHECK(c.Handled == 0);
    REQUIRE(c.hasResponse());
    std::string out(12, '\0');
    boost::asio::read(c.Socket, boost::asio::buffer(out));
    CHECK(out == "HTTP/1.1 400");
  }
}

TEST_CASE("a chunked request is served") {
  WaitingConnection c;
  c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
         "1\r\nx\r\n0\r\n\r\n");
  c.runFor(ShortTime);
  CHECK(c.Handled == 1);
}

TEST_CASE("a request that is received in part is rejected when the server "
          "stops receiving") {
  WaitingConnection c;
  c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf");
  c.runFor(ShortTime);
  c.Server.stopReceiving();
  c.runFor(ShortTime);
  CHECK(c.Handled == 0);
  REQUIRE(c.hasResponse());
  std::string out(12, '\0');
  boost::asio::read(c.Socket, boost::asio::buffer(out));
  CHECK(out == "HTTP/1.1 503");
  CHECK(c.Server.openRequests() == 0);
}

namespace {

constexpr size_t SmallBudget = size_t{256} * 1024;

/// A server with a small budget, and what its callers receive.
struct BoundedServer {
  explicit BoundedServer(size_t maxConnections = 0, size_t budget = SmallBudget)
      : Memory(std::make_shared<http::ReceiveMemory>(
            budget, [](const http::GivenUpShare &) {})),
        Server(Io, options(maxConnections, Memory),
               [this](http::Request &r, http::ResponseWriter &out) {
                 ++Handled;
                 http::Response response;
                 response.Body.assign(r.Method == "GET" ? ResponseBytes : 2,
                                      'x');
                 return out.send(std::move(response));
               }) {
    Server.start();
  }

  static http::ServerOptions
  options(size_t maxConnections, std::shared_ptr<http::ReceiveMemory> memory) {
    http::ServerOptions o;
    o.Listen = {"127.0.0.1", 0};
    o.Memory = std::move(memory);
    o.MaxConnections = maxConnections;
    return o;
  }

  tcp::socket connect() {
    tcp::socket out(Io);
    out.connect({boost::asio::ip::make_address("127.0.0.1"), Server.port()});
    return out;
  }

  /// Sends the text, while the server runs, and returns the first line of the
  /// response; empty if there is none.
  std::string call(tcp::socket &socket, const std::string &text,
                   Milliseconds time = Milliseconds(500)) {
    std::string out(12, '\0');
    bool done = false;
    spawn(Io, "call", [&]() -> Awaitable<void> {
      auto token = boost::asio::as_tuple(use_awaitable);
      co_await boost::asio::async_write(socket, boost::asio::buffer(text),
                                        token);
      auto [ec, n] = co_await boost::asio::async_read(
          socket, boost::asio::buffer(out), token);
      out.resize(n);
      done = true;
    });
    MonoTime end = MonoClock::now() + time;
    while (!done && MonoClock::now() < end)
      Io.run_for(Milliseconds(5));
    if (!done) {
      socket.cancel();
      while (!done)
        Io.run_for(Milliseconds(5));
    }
    return out;
  }

  static std::string post(size_t announced, size_t sent) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(announced) + "\r\n\r\n" + std::string(sent, 'x');
  }

  IoContext Io{1};
  int Handled = 0;
  size_t ResponseBytes = size_t{16} * 1024 * 1024;
  std::shared_ptr<http::ReceiveMemory> Memory;
  http::Server Server;
};

} // namespace

// Guards against bodies that together exceed the budget, and against rejecting
// ordinary requests because of them.
TEST_CASE("the largest body gives way when bodies exceed the budget") {
  BoundedServer s;
  tcp::socket large = s.connect();
  tcp::socket small = s.connect();
  CHECK(s.call(large, BoundedServer::post(300'000, 299'000)) == "HTTP/1.1 503");
  CHECK(s.Memory->held() == 0);
  CHECK(s.Handled == 0);
  tcp::socket stopped = s.connect();
  CHECK(s.call(stopped, BoundedServer::post(250'000, 200'000)).empty());
  CHECK(s.Memory->held() > 0);
  CHECK(s.call(small, BoundedServer::post(4'000, 4'000)) == "HTTP/1.1 200");
  CHECK(s.Memory->held() <= SmallBudget);
}

// Guards against a budget that counts bytes which are announced only.
TEST_CASE("an announced body takes no memory before it arrives") {
  BoundedServer s;
  tcp::socket socket = s.connect();
  CHECK(s.call(socket, BoundedServer::post(4'000'000, 10)).empty());
  CHECK(s.Memory->held() == 0);
}

// Guards against a reset that destroys the response to a caller which still
// sends its body.
TEST_CASE("a caller that still sends a body gets its rejection") {
  BoundedServer s;
  tcp::socket socket = s.connect();
  CHECK(s.call(socket, BoundedServer::post(8'000'000, 8'000'000),
               Milliseconds(5'000)) == "HTTP/1.1 413");
}

// Guards against responses that callers never read and that hold memory.
TEST_CASE("a response that is not read gives way") {
  BoundedServer s;
  tcp::socket unread = s.connect();
  std::string get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  boost::asio::write(unread, boost::asio::buffer(get));
  s.Io.run_for(Milliseconds(400));
  CHECK(s.Memory->held() > SmallBudget);
  // The next change of the memory finds the unread response.
  tcp::socket other = s.connect();
  CHECK(s.call(other, BoundedServer::post(20'000, 20'000)) == "HTTP/1.1 200");
  CHECK(s.Memory->held() <= SmallBudget);
}

// Guards against connections without a request that keep others out.
TEST_CASE("the longest idle connection gives its place to a new one") {
  BoundedServer s(2);
  tcp::socket first = s.connect();
  tcp::socket second = s.connect();
  s.Io.run_for(Milliseconds(20));
  CHECK(s.Server.connections() == 2);
  tcp::socket third = s.connect();
  CHECK(s.call(third, BoundedServer::post(2, 2)) == "HTTP/1.1 200");
  CHECK(s.Server.connections() <= 2);
  CHECK(s.call(second, BoundedServer::post(2, 2)) == "HTTP/1.1 200");
  CHECK(s.call(first, BoundedServer::post(2, 2)).empty());
}

// Guards against a default budget that rejects the largest request.
TEST_CASE("the largest request fits the budget of the smallest instance") {
  constexpr size_t LargestBody = size_t{4} * 1024 * 1024;
  http::InstanceSize smallest{uint64_t{120} * 1024 * 1024, 3'075};
  BoundedServer s(0, http::callerMemoryLimit(0, smallest).value());
  tcp::socket announced = s.connect();
  CHECK(s.call(announced, BoundedServer::post(LargestBody, LargestBody),
               Milliseconds(5'000)) == "HTTP/1.1 200");
  tcp::socket chunked = s.connect();
  std::string request = "POST / HTTP/1.1\r\nHost: h\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n400000\r\n" +
                        std::string(LargestBody, 'x') + "\r\n0\r\n\r\n";
  CHECK(s.call(chunked, request, Milliseconds(5'000)) == "HTTP/1.1 200");
  CHECK(s.Memory->held() == 0);
}
