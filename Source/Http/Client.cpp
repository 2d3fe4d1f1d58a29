#include "Sardineford/Http/Client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <array>
#include <map>

namespace sardineford::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr size_t MaxIdlePerEndpoint = 64;
constexpr size_t ReadPieceBytes = size_t{16} * 1024;
constexpr uint64_t MaxAnswerBytes = 64ull * 1024 * 1024;
/// Unacknowledged bytes older than this close the connection.
constexpr int UserTimeoutMs = 10'000;

struct Connection {
  explicit Connection(tcp::socket s) : Stream(std::move(s)) {}

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  bool Reused = false;
};

using ConnectionPtr = std::unique_ptr<Connection>;

/// True when the peer has neither closed an idle connection nor sent bytes
/// that nobody asked for.
bool usable(Connection &c) {
  std::array<char, 1> buf{};
  beast::error_code ec;
  c.Stream.socket().non_blocking(true, ec);
  c.Stream.socket().receive(asio::buffer(buf), tcp::socket::message_peek, ec);
  return ec == asio::error::would_block;
}

void setKeepAlive(tcp::socket &s) {
  beast::error_code ec;
  s.set_option(tcp::no_delay(true), ec);
  s.set_option(asio::socket_base::keep_alive(true), ec);
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  s.set_option(UserTimeout(UserTimeoutMs), ec);
}

bhttp::request<bhttp::string_body> toBeast(const Endpoint &to,
                                           Request &&request) {
  bhttp::request<bhttp::string_body> out;
  out.version(11);
  out.method_string(request.Method);
  out.target(request.Target);
  out.set(bhttp::field::host, toString(to));
  for (const Header &it : request.Fields.Fields)
    out.set(it.Name, it.Value);
  out.body() = std::move(request.Body);
  out.prepare_payload();
  return out;
}

template <class Message> Response headOf(const Message &in) {
  Response out;
  out.Status = in.result_int();
  for (const auto &it : in)
    out.Fields.add(std::string(it.name_string()), std::string(it.value()));
  return out;
}

using Parser = bhttp::response_parser<bhttp::buffer_body>;

} // namespace

struct Client::Impl : std::enable_shared_from_this<Client::Impl> {
  explicit Impl(IoContext &io) : Io(io) {}

  IoContext &Io;
  std::map<Endpoint, std::vector<ConnectionPtr>> Idle;

  ConnectionPtr takeIdle(const Endpoint &to) {
    auto it = Idle.find(to);
    while (it != Idle.end() && !it->second.empty()) {
      ConnectionPtr c = std::move(it->second.back());
      it->second.pop_back();
      if (usable(*c)) {
        c->Reused = true;
        return c;
      }
    }
    return nullptr;
  }

  void giveBack(const Endpoint &to, ConnectionPtr c) {
    std::vector<ConnectionPtr> &idle = Idle[to];
    if (idle.size() < MaxIdlePerEndpoint)
      idle.push_back(std::move(c));
  }

  Awaitable<ConnectionPtr> connect(Endpoint to, Milliseconds timeout) {
    beast::error_code ec;
    asio::ip::address address = asio::ip::make_address(to.Host, ec);
    if (ec)
      throw TransportError(TransportStage::NothingSent, false,
                           toString(to) + " is not an IP number and port");
    auto c = std::make_unique<Connection>(tcp::socket(Io));
    c->Stream.expires_after(timeout);
    auto [failed] = co_await c->Stream.async_connect(
        tcp::endpoint(address, to.Port), asio::as_tuple(use_awaitable));
    if (failed)
      throw TransportError(
          TransportStage::NothingSent, failed == beast::error::timeout,
          "connect to " + toString(to) + ": " + failed.message());
    setKeepAlive(c->Stream.socket());
    co_return c;
  }

  Awaitable<std::unique_ptr<ResponseStream>> open(Endpoint to, Request request,
                                                  CallOptions options);
};

namespace {

class Stream : public ResponseStream {
public:
  Stream(std::shared_ptr<Client::Impl> owner, Endpoint to, ConnectionPtr c)
      : Owner(std::move(owner)), To(std::move(to)), Link(std::move(c)) {
    Body.body_limit(MaxAnswerBytes);
  }

  ~Stream() override {
    if (Link && Body.is_done() && Body.get().keep_alive() && !Closed)
      Owner->giveBack(To, std::move(Link));
  }

  Awaitable<void> readHead(Milliseconds timeout) {
    Link->Stream.expires_after(timeout);
    auto [ec, n] = co_await bhttp::async_read_header(
        Link->Stream, Link->Buffer, Body, asio::as_tuple(use_awaitable));
    if (ec)
      fail(ec);
    Head = headOf(Body.get());
  }

  const Response &head() const override { return Head; }

  Awaitable<std::string> read(Milliseconds timeout) override {
    std::string piece(ReadPieceBytes, '\0');
    Link->Stream.expires_after(timeout);
    while (!Body.is_done()) {
      Body.get().body().data = piece.data();
      Body.get().body().size = piece.size();
      Body.get().body().more = true;
      auto [ec, n] = co_await bhttp::async_read_some(
          Link->Stream, Link->Buffer, Body, asio::as_tuple(use_awaitable));
      if (ec && ec != bhttp::error::need_buffer)
        fail(ec);
      size_t got = piece.size() - Body.get().body().size;
      if (got == 0)
        continue;
      piece.resize(got);
      co_return piece;
    }
    co_return std::string();
  }

  void close() override {
    Closed = true;
    beast::error_code ec;
    Link->Stream.socket().close(ec);
  }

private:
  [[noreturn]] void fail(beast::error_code ec) {
    Closed = true;
    // Connections kept from the same time may be silent too.
    if (ec == beast::error::timeout)
      Owner->Idle.erase(To);
    throw TransportError(TransportStage::Sent, ec == beast::error::timeout,
                         "answer of " + toString(To) + ": " + ec.message());
  }

  std::shared_ptr<Client::Impl> Owner;
  Endpoint To;
  ConnectionPtr Link;
  Parser Body;
  Response Head;
  bool Closed = false;
};

} // namespace

Awaitable<std::unique_ptr<ResponseStream>>
Client::Impl::open(Endpoint to, Request request, CallOptions options) {
  auto self = shared_from_this();
  bhttp::request<bhttp::string_body> message = toBeast(to, std::move(request));
  for (;;) {
    ConnectionPtr c = options.FreshConnection ? nullptr : takeIdle(to);
    if (!c)
      c = co_await connect(to, options.ConnectTimeout);
    bool reused = c->Reused;
    if (options.BeforeSend && !options.BeforeSend())
      throw TransportError(TransportStage::NothingSent, false,
                           "the call to " + toString(to) + " was withdrawn");
    c->Stream.expires_after(options.Timeout);
    auto [ec, n] = co_await bhttp::async_write(c->Stream, message,
                                               asio::as_tuple(use_awaitable));
    if (ec && reused)
      continue;
    if (ec)
      throw TransportError(TransportStage::Sent, ec == beast::error::timeout,
                           "send to " + toString(to) + ": " + ec.message());
    auto stream = std::make_unique<Stream>(self, to, std::move(c));
    try {
      co_await stream->readHead(options.Timeout);
    } catch (const TransportError &e) {
      // A kept connection that the peer closed meanwhile is no failure of the
      // peer; one that is silent is.
      if (!reused || e.TimedOut)
        throw;
      continue;
    }
    co_return stream;
  }
}

Client::Client(IoContext &io) : Shared(std::make_shared<Impl>(io)) {}

Client::~Client() = default;

Awaitable<std::unique_ptr<ResponseStream>>
Client::open(Endpoint to, Request request, CallOptions options) {
  return Shared->open(std::move(to), std::move(request), options);
}

Awaitable<Response> Client::call(Endpoint to, Request request,
                                 CallOptions options) {
  MonoTime end = MonoClock::now() + options.Timeout;
  std::unique_ptr<ResponseStream> stream =
      co_await Shared->open(std::move(to), std::move(request), options);
  Response r = stream->head();
  for (;;) {
    Milliseconds left = toMilliseconds(end - MonoClock::now());
    std::string piece = co_await stream->read(std::max(left, Milliseconds(1)));
    if (piece.empty())
      co_return r;
    r.Body += piece;
  }
}

} // namespace sardineford::http
