#include "Sardineford/Http/Client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace sardineford;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

namespace {

/// Responds to each request with the exact bytes that the script returns.
/// Without readsBody, leaves the request body unread.
class ScriptedServer {
public:
  using Script = std::function<std::string(int request)>;

  ScriptedServer(IoContext &io, Script script, bool readsBody = true)
      : Io(io), Acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Responses(std::move(script)), ReadsBody(readsBody) {
    spawn(Io, "raw-server", [this] { return acceptLoop(); });
  }

  http::Endpoint at() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  int Connections = 0;
  int Requests = 0;

private:
  Awaitable<void> acceptLoop() {
    for (;;) {
      tcp::socket s = co_await Acceptor.async_accept(use_awaitable);
      ++Connections;
      auto socket = std::make_shared<tcp::socket>(std::move(s));
      spawn(Io, "raw-connection", [this, socket] { return serve(socket); });
    }
  }

  Awaitable<void> serve(std::shared_ptr<tcp::socket> s) {
    std::string buf;
    for (;;) {
      auto [ec, n] = co_await boost::asio::async_read_until(
          *s, boost::asio::dynamic_buffer(buf), "\r\n\r\n",
          boost::asio::as_tuple(use_awaitable));
      if (ec)
        co_return;
      buf.erase(0, n);
      std::string response = Responses(Requests++);
      co_await boost::asio::async_write(*s, boost::asio::buffer(response),
                                        use_awaitable);
      if (!ReadsBody)
        co_await sleepFor(std::chrono::seconds(60));
    }
  }

  IoContext &Io;
  tcp::acceptor Acceptor;
  Script Responses;
  bool ReadsBody;
};

std::string okResponse(const std::string &body, const std::string &extra = "") {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + extra + "\r\n" + body;
}

/// Makes calls one after the other and returns the body or the error of each.
std::vector<std::string> callAll(IoContext &io, http::Endpoint to, int calls,
                                 http::Request request = {}) {
  std::vector<std::string> out;
  http::Client client(io);
  spawn(io, "calls", [&]() -> Awaitable<void> {
    for (int i = 0; i < calls; ++i) {
      try {
        http::CallOptions o;
        o.Timeout = Milliseconds(2'000);
        http::Response r = co_await client.call(to, request, o);
        out.push_back(r.Body);
      } catch (const http::TransportError &e) {
        out.push_back(e.TimedOut ? "timed out" : "broken");
      }
      // Gives bytes after the response time to arrive.
      co_await sleepFor(Milliseconds(30));
    }
    io.stop();
  });
  io.run();
  return out;
}

} // namespace

TEST_CASE("bytes after a response are not read as the next response") {
  IoContext io(1);
  ScriptedServer server(io, [](int i) {
    return okResponse("right " + std::to_string(i)) + okResponse("stray");
  });
  auto bodies = callAll(io, server.at(), 3);
  CHECK(bodies == std::vector<std::string>{"right 0", "right 1", "right 2"});
  CHECK(server.Connections == 3);
}

TEST_CASE("an idle connection is reused") {
  IoContext io(1);
  ScriptedServer server(io, [](int) { return okResponse("x"); });
  CHECK(callAll(io, server.at(), 3).size() == 3);
  CHECK(server.Connections == 1);
}

// Guards against a connection beyond the limit, and against idle connections
// that keep a request that needs a new one waiting.
TEST_CASE("a new connection takes the place of an idle one at the limit") {
  IoContext io(1);
  ScriptedServer server(io, [](int) { return okResponse("x"); });
  http::Client client(io);
  client.setLimit(server.at(), {.Open = 1, .Idle = 1});
  bool wasAtLimit = false;
  spawn(io, "case", [&]() -> Awaitable<void> {
    http::CallOptions options;
    options.FreshConnection = true;
    http::Request request;
    http::Endpoint at = server.at();
    for (int i = 0; i < 3; ++i)
      co_await client.call(at, request, options);
    CHECK(client.connections(server.at()).Open == 1);
    auto held = co_await client.open(at, request, options);
    try {
      co_await client.call(at, request, options);
    } catch (const http::TransportError &e) {
      wasAtLimit = e.AtLimit && e.Stage == http::TransportStage::NothingSent;
    }
    held.reset();
    CHECK(client.connections(server.at()).Open == 0);
    io.stop();
  });
  io.run();
  CHECK(wasAtLimit);
  CHECK(server.Connections == 4);
}

TEST_CASE("a repeated rejection is not read as the response to the next call") {
  std::string rejection =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 8\r\n\r\nrejected";
  IoContext io(1);
  ScriptedServer *known = nullptr;
  ScriptedServer server(io, [&](int i) {
    if (i == 0)
      return rejection;
    return known->Connections == 1 ? rejection + okResponse("right")
                                   : okResponse("right");
  });
  known = &server;
  auto bodies = callAll(io, server.at(), 2);
  CHECK(bodies == std::vector<std::string>{"rejected", "right"});
}

TEST_CASE(
    "an idle connection past the peer's keep-alive timeout is not reused") {
  IoContext io(1);
  ScriptedServer server(
      io, [](int) { return okResponse("x", "Keep-Alive: timeout=0\r\n"); });
  CHECK(callAll(io, server.at(), 2).size() == 2);
  CHECK(server.Connections == 2);
}

TEST_CASE(
    "a response received before the request body is sent ends the connection") {
  IoContext io(1);
  ScriptedServer server(
      io, [](int) { return okResponse("too long"); }, false);
  http::Request request;
  request.Method = "POST";
  request.Body.assign(size_t{8} * 1024 * 1024, 'x');
  auto bodies = callAll(io, server.at(), 2, request);
  CHECK(bodies == std::vector<std::string>{"too long", "too long"});
  CHECK(server.Connections == 2);
}

TEST_CASE("an incomplete response body is an error") {
  IoContext io(1);
  ScriptedServer server(io, [](int) {
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  });
  http::Client client(io);
  auto bodies = callAll(io, server.at(), 1);
  CHECK(bodies == std::vector<std::string>{"timed out"});
}

TEST_CASE("a response can be received after waits without a complete part") {
  // Each piece ends where nothing can be delivered but the bytes before it.
  const std::vector<std::string> pieces = {"HTTP/1.1 200 OK\r\nTransfer-Enc",
                                           "oding: chunked\r\n\r\n",
                                           "5\r\nfi",
                                           "rst\r",
                                           "\n6\r\nsecond\r\n0\r",
                                           "\n\r\n"};
  IoContext io(1);
  tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  std::optional<tcp::socket> socket;
  spawn(io, "server", [&]() -> Awaitable<void> {
    socket = co_await acceptor.async_accept(use_awaitable);
  });
  std::string body;
  int fruitlessWaits = 0;
  bool headReceived = false;
  spawn(io, "client", [&]() -> Awaitable<void> {
    http::Client client(io);
    http::Endpoint to{"127.0.0.1", acceptor.local_endpoint().port()};
    http::Request request;
    http::CallOptions options;
    std::unique_ptr<http::ResponseStream> response =
        co_await client.send(to, std::move(request), std::move(options));
    std::vector<http::ResponseStream *> waited = {response.get()};
    for (const std::string &it : pieces) {
      if (!co_await http::waitForAny(waited, Milliseconds(30)))
        ++fruitlessWaits;
      co_await boost::asio::async_write(*socket, boost::asio::buffer(it),
                                        use_awaitable);
      co_await sleepFor(Milliseconds(10));
      if (!response->isReady())
        continue;
      if (!std::exchange(headReceived, true))
        co_await response->receiveHead(http::ReadyTimeout);
      while (response->isReady()) {
        std::string part = co_await response->read(http::ReadyTimeout);
        if (part.empty())
          break;
        body += part;
      }
    }
    io.stop();
  });
  io.run();
  CHECK(body == "firstsecond");
  CHECK(fruitlessWaits == static_cast<int>(pieces.size()));
}

TEST_CASE("chunk extensions, trailers and small chunks of ordinary size are "
          "accepted") {
  std::string tail = "0\r\nChecksum: " + std::string(500, 'c') + "\r\n\r\n";
  std::string chunks;
  std::string body;
  for (int i = 0; i < 5'000; ++i) {
    chunks += i % 3 == 0
                  ? "1;name=" + std::string(1 + i % 200, 'v') + "\r\nx\r\n"
                  : "1\r\nx\r\n";
    body += 'x';
  }
  IoContext io(1);
  ScriptedServer server(io, [&](int) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks +
           tail;
  });
  CHECK(callAll(io, server.at(), 2) == std::vector<std::string>{body, body});
  CHECK(server.Connections == 1);
}

TEST_CASE("a large body is received whole") {
  std::string body(http::MaxBodyBytes, 'x');
  IoContext io(1);
  ScriptedServer server(io, [&](int) { return okResponse(body); });
  CHECK(callAll(io, server.at(), 2) == std::vector<std::string>{body, body});
}

TEST_CASE("informational responses before the final one are skipped") {
  const std::string informational =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
      "Link: </x>\r\n\r\n";
  IoContext io(1);
  ScriptedServer server(
      io, [&](int) { return informational + okResponse("final"); });
  CHECK(callAll(io, server.at(), 2) ==
        std::vector<std::string>{"final", "final"});
  CHECK(server.Connections == 1);
}
