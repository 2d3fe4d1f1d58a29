#include "StandIns/Relay/Relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace sardineford::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr size_t BufferBytes = size_t{16} * 1024;
/// Delay of a rejection that is repeated later, and between its two parts.
constexpr Milliseconds RepeatDelay{50};
constexpr Milliseconds PartDelay{3};
constexpr Milliseconds ResetDelay{50};
/// Little of an upload fits into the buffers of a connection.
constexpr int EarlyReceiveBytes = 16 * 1024;
/// Interval at which a relay that refuses connections looks whether it accepts
/// them again.
constexpr Milliseconds ListenPollInterval{5};
constexpr std::string_view SuccessStart = "HTTP/1.1 200 ";

tcp::endpoint toNative(const http::Endpoint &e) {
  return {asio::ip::make_address(e.Host), e.Port};
}

LinkMode parseMode(std::string_view text) {
  if (text == "drop")
    return LinkMode::Disconnect;
  if (text == "swallow")
    return LinkMode::Blackhole;
  return text == "swallow_open" ? LinkMode::BlackholeOpen : LinkMode::Forward;
}

bool isRejection(std::string_view bytes) {
  constexpr std::array<std::string_view, 3> Starts = {
      "HTTP/1.1 503 ", "HTTP/1.1 421 ", "HTTP/1.1 429 "};
  bool isWhole = bytes.ends_with("\r\n\r\n");
  return isWhole &&
         std::any_of(Starts.begin(), Starts.end(), [&](std::string_view it) {
           return bytes.starts_with(it);
         });
}

} // namespace

struct Relay::Link {
  Link(tcp::socket from, tcp::socket to)
      : From(std::move(from)), To(std::move(to)) {}

  tcp::socket From;
  tcp::socket To;
  bool Blackholed = false;
  /// Rejection to write again; empty for none.
  std::string Rejection;

  void close() {
    boost::system::error_code ec;
    From.close(ec);
    To.close(ec);
  }
};

Relay::Relay(IoContext &io, http::Endpoint listen, http::Endpoint target,
             http::Endpoint admin)
    : Io(io), Listen(std::move(listen)), Target(std::move(target)),
      Acceptor(io),
      Admin(io, http::ServerOptions{.Listen = std::move(admin)},
            [this](http::Request &request, http::ResponseWriter &out) {
              return handle(request, out);
            }) {}

void Relay::listen() {
  Acceptor.open(tcp::v4());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.bind(toNative(Listen));
  Acceptor.listen();
}

void Relay::start() {
  listen();
  Admin.start();
  spawn(Io, "relay", [this] { return acceptLoop(); });
}

Awaitable<void> Relay::acceptLoop() {
  for (;;) {
    if (!Acceptor.is_open()) {
      co_await sleepFor(ListenPollInterval);
      continue;
    }
    auto [ec, socket] =
        co_await Acceptor.async_accept(asio::as_tuple(use_awaitable));
    if (ec || Mode == LinkMode::Disconnect)
      continue;
    boost::system::error_code ignored;
    if (MakeEarlyAnswer)
      socket.set_option(
          asio::socket_base::receive_buffer_size(EarlyReceiveBytes), ignored);
    auto from = std::make_shared<tcp::socket>(std::move(socket));
    spawn(Io, "link", [this, from] { return openLink(std::move(*from)); });
  }
}

Awaitable<void> Relay::openLink(tcp::socket from) {
  tcp::socket to(Io);
  auto [ec] = co_await to.async_connect(toNative(Target),
                                        asio::as_tuple(use_awaitable));
  if (ec)
    co_return;
  boost::system::error_code ignored;
  from.set_option(tcp::no_delay(true), ignored);
  to.set_option(tcp::no_delay(true), ignored);
  ++NumConnections;
  auto link = std::make_shared<Link>(std::move(from), std::move(to));
  Links.push_back(link);
  spawn(Io, "relay-to-target", [this, link] { return copyBytes(link, true); });
  spawn(Io, "relay-from-target",
        [this, link] { return copyBytes(link, false); });
}

Awaitable<void> Relay::copyBytes(LinkPtr link, bool toTarget) {
  tcp::socket &in = toTarget ? link->From : link->To;
  tcp::socket &out = toTarget ? link->To : link->From;
  std::array<char, BufferBytes> buf{};
  for (;;) {
    auto [ec, n] = co_await in.async_read_some(asio::buffer(buf),
                                               asio::as_tuple(use_awaitable));
    if (ec)
      break;
    if (Delay.count() > 0)
      co_await sleepFor(Delay);
    bool discard = link->Blackholed || Mode == LinkMode::Blackhole ||
                   (toTarget && Mode == LinkMode::BlackholeToTarget);
    if (discard)
      continue;
    std::string_view received(buf.data(), n);
    std::string early =
        toTarget && MakeEarlyAnswer ? MakeEarlyAnswer(received) : std::string();
    if (!early.empty()) {
      co_await sendAndReset(link, std::move(early));
      break;
    }
    if (!toTarget && Endless && received.starts_with(SuccessStart)) {
      co_await sendEndless(link, std::string(received));
      break;
    }
    if (!toTarget)
      replaceTexts({buf.data(), n});
    auto [failed, written] = co_await asio::async_write(
        out, asio::buffer(buf.data(), n), asio::as_tuple(use_awaitable));
    if (failed)
      break;
    if (!toTarget)
      recordRejection(link, {buf.data(), n});
    else if (Repeated == RepeatedRejection::AfterNextRequest ||
             Repeated == RepeatedRejection::AfterNextRequestInParts)
      repeatRejection(link, Milliseconds(0));
  }
  // A blackholed link keeps the connection of the other end open.
  if (!link->Blackholed && Mode != LinkMode::Blackhole)
    link->close();
}

Awaitable<void> Relay::sendEndless(LinkPtr link, std::string head) {
  ++NumEndless;
  EndlessBytes response = makeEndless(*Endless, head);
  auto [ec, n] = co_await asio::async_write(
      link->From, asio::buffer(response.Begin), asio::as_tuple(use_awaitable));
  while (!ec) {
    std::tie(ec, n) =
        co_await asio::async_write(link->From, asio::buffer(response.Block),
                                   asio::as_tuple(use_awaitable));
    co_await sleepFor(response.Pause);
  }
}

Awaitable<void> Relay::sendAndReset(LinkPtr link, std::string bytes) {
  ++NumEarly;
  co_await asio::async_write(link->From, asio::buffer(bytes),
                             asio::as_tuple(use_awaitable));
  // The caller waits in its write once the buffers of the connection are full.
  co_await sleepFor(ResetDelay);
  boost::system::error_code ec;
  link->From.set_option(asio::socket_base::linger(true, 0), ec);
}

void Relay::replaceFromTarget(std::string text, std::string replacement) {
  Replacements.emplace_back(std::move(text), std::move(replacement));
}

void Relay::replaceTexts(std::span<char> bytes) const {
  std::string_view view(bytes.data(), bytes.size());
  for (const auto &[text, replacement] : Replacements)
    for (size_t i = view.find(text); i != std::string_view::npos;
         i = view.find(text, i + text.size()))
      std::copy(replacement.begin(), replacement.end(),
                bytes.begin() + static_cast<ptrdiff_t>(i));
}

void Relay::recordRejection(const LinkPtr &link, std::string_view bytes) {
  if (Repeated == RepeatedRejection::Never || !isRejection(bytes))
    return;
  link->Rejection = bytes;
  if (Repeated == RepeatedRejection::AtOnce)
    repeatRejection(link, Milliseconds(0));
  else if (Repeated == RepeatedRejection::Later)
    repeatRejection(link, RepeatDelay);
}

void Relay::repeatRejection(LinkPtr link, Milliseconds delay) {
  if (link->Rejection.empty())
    return;
  std::string bytes = std::exchange(link->Rejection, {});
  size_t first = Repeated == RepeatedRejection::AfterNextRequestInParts
                     ? bytes.size() / 2
                     : bytes.size();
  spawn(Io, "repeated-rejection",
        [link, bytes, first, delay]() -> Awaitable<void> {
          co_await sleepFor(delay);
          co_await asio::async_write(link->From,
                                     asio::buffer(bytes.data(), first),
                                     asio::as_tuple(use_awaitable));
          if (first == bytes.size())
            co_return;
          co_await sleepFor(PartDelay);
          co_await asio::async_write(link->From, asio::buffer(bytes) + first,
                                     asio::as_tuple(use_awaitable));
        });
}

void Relay::setMode(LinkMode mode) {
  Mode = mode;
  boost::system::error_code ec;
  if (mode == LinkMode::RefuseNew)
    Acceptor.close(ec);
  else if (!Acceptor.is_open())
    listen();
  for (const std::weak_ptr<Link> &it : Links) {
    LinkPtr link = it.lock();
    if (link && mode == LinkMode::Disconnect)
      link->close();
    if (link && mode == LinkMode::BlackholeOpen)
      link->Blackholed = true;
  }
  Links.remove_if([](const auto &it) { return it.expired(); });
}

void Relay::closeOpenConnections() {
  for (const std::weak_ptr<Link> &it : Links)
    if (LinkPtr link = it.lock())
      link->close();
}

Awaitable<void> Relay::handle(http::Request &request,
                              http::ResponseWriter &out) {
  json::object body = json::parse(request.Body).as_object();
  if (const json::value *v = body.if_contains("mode"))
    setMode(parseMode(v->as_string()));
  if (const json::value *v = body.if_contains("delay_ms"))
    Delay = Milliseconds(v->to_number<int64_t>());
  co_await out.send(http::jsonResponse(200, "{}"));
}

} // namespace sardineford::standins
