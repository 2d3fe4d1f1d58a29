#include "Sardineford/Http/Client.h"
#include "StandIns/Service/BlockingServer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace sardineford;
using boost::asio::ip::tcp;
using standins::BlockingServer;

namespace {

constexpr const char *HeadWithoutLength =
    "HTTP/1.1 200 OK\r\nRequest-Id: 9c41d0\r\n\r\n";
constexpr const char *Body = "the part that was sent before the reset";
/// More than the socket buffers of a connection on loopback hold.
constexpr size_t LongUpload = size_t{16} * 1024 * 1024;
constexpr size_t ShortUpload = 1'000;
constexpr int Repetitions = 20;
/// The client waits in its write.
constexpr Milliseconds BuffersFilled{30};
constexpr Milliseconds CallTimeout{5'000};

void write(tcp::socket &socket, const std::string &bytes) {
  boost::system::error_code ec;
  boost::asio::write(socket, boost::asio::buffer(bytes), ec);
}

void reset(tcp::socket &socket) {
  boost::system::error_code ec;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
  socket.close(ec);
}

/// Reads until the client closes the connection.
void drain(tcp::socket &socket) {
  boost::system::error_code ec;
  std::vector<char> buf(size_t{64} * 1024);
  while (!ec)
    socket.read_some(boost::asio::buffer(buf), ec);
}

/// Uploads a body and returns the response; nothing if the call fails.
std::optional<http::Response> upload(http::Endpoint to, size_t bytes) {
  IoContext io(1);
  http::Client client(io);
  std::optional<http::Response> out;
  spawn(io, "call", [&]() -> Awaitable<void> {
    try {
      http::Request request;
      request.Method = "POST";
      request.Body.assign(bytes, 'a');
      http::CallOptions options;
      options.Timeout = CallTimeout;
      out = co_await client.call(to, request, options);
    } catch (const http::TransportError &) {
      out.reset();
    }
    io.stop();
  });
  io.run();
  return out;
}

/// Counts the uploads that end with a response.
int countResponses(http::Endpoint to, size_t bytes) {
  int out = 0;
  for (int i = 0; i < Repetitions; ++i)
    out += upload(to, bytes) ? 1 : 0;
  return out;
}

/// Returns the error of a call to a server that sends the bytes and closes the
/// connection.
std::optional<http::TransportError> errorOf(const std::string &bytes) {
  BlockingServer server([&](tcp::socket &socket) { write(socket, bytes); });
  IoContext io(1);
  http::Client client(io);
  std::optional<http::TransportError> out;
  spawn(io, "call", [&]() -> Awaitable<void> {
    try {
      http::Endpoint to = server.at();
      http::Request request;
      http::CallOptions options;
      co_await client.call(to, request, options);
    } catch (const http::TransportError &e) {
      out = e;
    }
    io.stop();
  });
  io.run();
  return out;
}

} // namespace

// Guards against a reset that the write of the request reports, so that the
// response seems to end with its connection.
TEST_CASE("a response without a length that is reset while the request is sent "
          "is not complete") {
  for (Milliseconds delay : {Milliseconds(0), BuffersFilled})
    for (size_t bytes : {ShortUpload, LongUpload}) {
      INFO(bytes << " bytes, reset after " << delay.count() << " ms");
      BlockingServer server([&](tcp::socket &socket) {
        write(socket, std::string(HeadWithoutLength) + Body);
        std::this_thread::sleep_for(delay);
        reset(socket);
      });
      CHECK(countResponses(server.at(), bytes) == 0);
    }
}

TEST_CASE(
    "a response without a length is not complete if its server closes the "
    "connection with a part of the request unread") {
  BlockingServer server([&](tcp::socket &socket) {
    write(socket, std::string(HeadWithoutLength) + Body);
    std::this_thread::sleep_for(BuffersFilled);
    socket.close();
  });
  CHECK(countResponses(server.at(), LongUpload) == 0);
}

TEST_CASE(
    "a response without a length is complete if its server ends it before "
    "the request is sent and reads on") {
  BlockingServer server([&](tcp::socket &socket) {
    write(socket, std::string(HeadWithoutLength) + Body);
    socket.shutdown(tcp::socket::shutdown_send);
    std::this_thread::sleep_for(BuffersFilled);
    drain(socket);
  });
  for (size_t bytes : {ShortUpload, LongUpload})
    for (int i = 0; i < Repetitions; ++i) {
      std::optional<http::Response> response = upload(server.at(), bytes);
      REQUIRE(response);
      CHECK(response->Body == Body);
    }
}

TEST_CASE("a response with a length is complete though its connection is reset "
          "while the request is sent") {
  BlockingServer server([&](tcp::socket &socket) {
    write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(std::string(Body).size()) + "\r\n\r\n" +
                      Body);
    std::this_thread::sleep_for(BuffersFilled);
    reset(socket);
  });
  std::optional<http::Response> response = upload(server.at(), LongUpload);
  REQUIRE(response);
  CHECK(response->Body == Body);
}

// Guards against answers of a server in trouble that no caller can read.
TEST_CASE("a response whose status is not in use is an error") {
  for (const char *status :
       {"000", "001", "099", "101", "600", "999", "200", "204", "599"}) {
    INFO("status " << status);
    BlockingServer server([&](tcp::socket &socket) {
      write(socket, "HTTP/1.1 " + std::string(status) +
                        " X\r\nContent-Length: 0\r\n\r\n");
      drain(socket);
    });
    std::string text(status);
    bool isValid = text >= "200" && text <= "599";
    CHECK(upload(server.at(), ShortUpload).has_value() == isValid);
  }
}

TEST_CASE("bytes that are no response are told from a response that is cut") {
  for (const char *bytes :
       {"HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 999 X\r\n\r\n", "no response\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n"}) {
    INFO(bytes);
    std::optional<http::TransportError> error = errorOf(bytes);
    REQUIRE(error);
    CHECK(error->Malformed);
  }
  for (const char *bytes :
       {"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\na"}) {
    INFO(bytes);
    std::optional<http::TransportError> error = errorOf(bytes);
    REQUIRE(error);
    CHECK_FALSE(error->Malformed);
  }
}
