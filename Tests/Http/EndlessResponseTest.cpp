#include "StandIns/Relay/EndlessResponse.h"
#include "Sardineford/Engine/HttpEngineClient.h"
#include "Sardineford/Http/Client.h"
#include "StandIns/Service/BlockingServer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>

using namespace sardineford;
using namespace sardineford::standins;
using boost::asio::ip::tcp;

namespace {

constexpr const char *SoundHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// Bytes after which the server stops. Far more than a caller may take.
constexpr size_t MostBytes = size_t{128} * 1024 * 1024;
constexpr Milliseconds CallTimeout{10'000};

/// Sends a response without an end on each connection, until the caller closes
/// it.
class EndlessServer {
public:
  explicit EndlessServer(EndlessForm form, size_t limit = MostBytes)
      : Response(makeEndless(form, SoundHead)), Limit(limit),
        Server([this](tcp::socket &socket) { send(socket); }) {}
  ~EndlessServer() { Stops = true; }

  http::Endpoint at() const { return Server.at(); }
  /// Returns whether a caller has taken all bytes of a response.
  bool isExhausted() const { return Exhausted; }

private:
  void send(tcp::socket &socket) {
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(Response.Begin), ec);
    size_t sent = 0;
    while (!ec && !Stops && sent < Limit)
      sent +=
          boost::asio::write(socket, boost::asio::buffer(Response.Block), ec);
    Exhausted = Exhausted || sent >= Limit;
  }

  EndlessBytes Response;
  size_t Limit;
  std::atomic<bool> Stops = false;
  std::atomic<bool> Exhausted = false;
  BlockingServer Server;
};

/// Returns the error of a call, or "complete".
std::string callOnce(http::Endpoint to, Milliseconds timeout) {
  IoContext io(1);
  http::Client client(io);
  std::string out;
  spawn(io, "call", [&]() -> Awaitable<void> {
    try {
      http::CallOptions o;
      o.Timeout = timeout;
      http::Request request;
      co_await client.call(to, request, o);
      out = "complete";
    } catch (const http::TransportError &e) {
      out = e.TimedOut ? "timed out" : "broken";
    }
    io.stop();
  });
  io.run();
  return out;
}

} // namespace

TEST_CASE("the event loop runs while a server sends a body without an end") {
  // A sixteenth of what the server sends.
  constexpr size_t MostBytesInATurn = size_t{1} * 1024 * 1024;
  constexpr size_t Limit = 16 * MostBytesInATurn;
  for (EndlessForm form :
       {EndlessForm::Body, EndlessForm::Event, EndlessForm::OneByteChunks}) {
    INFO(toString(form));
    EndlessServer server(form, Limit);
    IoContext io(1);
    http::Client client(io);
    size_t inTurn = 0;
    size_t mostInTurn = 0;
    bool done = false;
    spawn(io, "turns", [&]() -> Awaitable<void> {
      while (!done) {
        inTurn = 0;
        co_await sleepFor(Milliseconds(0));
      }
    });
    spawn(io, "reader", [&]() -> Awaitable<void> {
      http::Endpoint to = server.at();
      http::Request request;
      http::CallOptions options;
      std::unique_ptr<http::ResponseStream> response =
          co_await client.open(to, request, options);
      try {
        for (std::string part = co_await response->read(CallTimeout);
             !part.empty(); part = co_await response->read(CallTimeout)) {
          inTurn += part.size();
          mostInTurn = std::max(mostInTurn, inTurn);
        }
      } catch (const http::TransportError &) {
        // The server stops within a chunk.
        done = true;
      }
      done = true;
    });
    io.run();
    CHECK(server.isExhausted());
    CHECK(mostInTurn <= MostBytesInATurn);
  }
}

TEST_CASE("bytes without an end outside a body break the response") {
  for (EndlessForm form :
       {EndlessForm::Header, EndlessForm::Informational, EndlessForm::ChunkSize,
        EndlessForm::ChunkExtension, EndlessForm::Trailer}) {
    INFO(toString(form));
    EndlessServer server(form, size_t{8} * 1024 * 1024);
    CHECK(callOnce(server.at(), CallTimeout) == "broken");
    CHECK_FALSE(server.isExhausted());
  }
}

TEST_CASE("bytes without an end that are no response break the call") {
  for (EndlessForm form : EndlessHeads) {
    INFO(toString(form));
    EndlessServer server(form, size_t{8} * 1024 * 1024);
    CHECK(callOnce(server.at(), CallTimeout) == "broken");
    CHECK_FALSE(server.isExhausted());
  }
}

TEST_CASE("a call fails at the size limit of a body without an end") {
  EndlessServer server(EndlessForm::Body);
  CHECK(callOnce(server.at(), CallTimeout) == "broken");
  CHECK_FALSE(server.isExhausted());
}

TEST_CASE("a call fails at its deadline while a body without an end arrives") {
  EndlessServer server(EndlessForm::OneByteChunks);
  CHECK(callOnce(server.at(), Milliseconds(20)) == "timed out");
  CHECK_FALSE(server.isExhausted());
}

TEST_CASE("a line without an end breaks the stream of an engine") {
  EndlessServer server(EndlessForm::Body, size_t{16} * 1024 * 1024);
  IoContext io(1);
  http::Client client(io);
  engine::HttpEngineClient engineClient(io, client);
  bool failed = false;
  spawn(io, "reader", [&]() -> Awaitable<void> {
    engine::Attempt attempt;
    http::Endpoint to = server.at();
    std::unique_ptr<engine::TokenStream> stream =
        co_await engineClient.generate(to, attempt, CallTimeout);
    try {
      for (;;)
        co_await stream->read(CallTimeout);
    } catch (const engine::EngineError &) {
      failed = true;
    }
    io.stop();
  });
  io.run();
  CHECK(failed);
  CHECK_FALSE(server.isExhausted());
}
