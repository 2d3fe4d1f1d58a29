#include "FaultyEngine.hh"

#include "platform/Names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace review {

namespace asio = boost::asio;
namespace json = boost::json;
namespace names = platform::names;
using asio::use_awaitable;

namespace {

constexpr const char *Id = "i-faulty";
constexpr Milliseconds HeartbeatInterval{300};
/// Bytes without an end arrive at 200 Mbit/s, a fifth of a machine's link.
constexpr size_t BlockBytes = 25'000;
constexpr Milliseconds BlockInterval{1};

/// Returns the value of a header of a request, as the daemon writes it.
std::string headerOf(const std::string &head, std::string_view name) {
  std::string key = fmt::format("\r\n{}: ", name);
  size_t at = head.find(key);
  if (at == std::string::npos)
    return "";
  at += key.size();
  return head.substr(at, head.find("\r\n", at) - at);
}

std::string chunk(const std::string &text) {
  return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

std::string event(int id) {
  return fmt::format("id: {}\ndata: piece\n\n", id);
}

} // namespace

FaultyEngine::FaultyEngine(IoContext &io, http::Endpoint listen,
                           http::Endpoint store)
    : Io(io), Listen(std::move(listen)), Store(std::move(store)), Client(io),
      Acceptor(io, {asio::ip::make_address(Listen.Host), Listen.Port}) {}

void FaultyEngine::start() {
  spawn(Io, "accept", [this] { return accept(); });
  spawn(Io, "register", [this] { return registerSelf(); });
}

Awaitable<void> FaultyEngine::registerSelf() {
  json::object spec = {{"service", "model"},  {"address", toString(Listen)},
                       {"zone", "a"},         {"version", "v1"},
                       {"slots", 64},         {"state", "ready"},
                       {"stage", "decode"},   {"coldRemainingMs", 0},
                       {"born", 1'700'000'000'000}, {"sequence", 0}};
  std::string kind =
      std::string(names::ObjectsPath) + std::string(names::ServersKind);
  http::Request r;
  r.Body = json::serialize(
      json::object{{"metadata", {{"name", Id}}}, {"spec", spec}});
  for (;;) {
    r.Method = "PUT";
    r.Target = kind + "/" + Id;
    http::Response response = co_await Client.call(Store, r);
    r.Method = "POST";
    r.Target = kind;
    if (response.Status == 404)
      co_await Client.call(Store, r);
    co_await sleepFor(HeartbeatInterval);
  }
}

Awaitable<void> FaultyEngine::accept() {
  for (;;) {
    auto socket = std::make_shared<Socket>(
        co_await Acceptor.async_accept(use_awaitable));
    spawn(Io, "connection",
          [this, socket] { return serve(std::move(*socket)); });
  }
}

Awaitable<void> FaultyEngine::serve(Socket socket) {
  std::string in;
  for (;;) {
    auto [ec, n] = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(in), "\r\n\r\n",
        asio::as_tuple(use_awaitable));
    if (ec)
      co_return;
    std::string head = in.substr(0, n);
    // The requests of this case have no body.
    in.erase(0, n);
    std::string out =
        fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Seal: s\r\n"
                    "Content-Type: text/event-stream\r\n",
                    headerOf(head, names::RequestId));
    Answer kind = NextAnswer;
    if (kind == Answer::EndlessEvent)
      out += "\r\n" + event(1) + "id: 2\ndata: ";
    else
      out += "Transfer-Encoding: chunked\r\n\r\n";
    if (kind == Answer::Whole)
      out += chunk(event(1)) + chunk(event(2)) + chunk(event(3)) + chunk("");
    co_await asio::async_write(socket, asio::buffer(out), use_awaitable);
    if (kind != Answer::Whole)
      co_await sendWithoutEnd(socket);
  }
}

Awaitable<void> FaultyEngine::sendWithoutEnd(Socket &socket) {
  const std::string block(BlockBytes, 'a');
  for (;;) {
    EndlessBytes +=
        co_await asio::async_write(socket, asio::buffer(block), use_awaitable);
    co_await sleepFor(BlockInterval);
  }
}

} // namespace review
