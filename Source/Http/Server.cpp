#include "Sardineford/Http/Server.h"

#include "Http/GrowingBody.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Http/CallerBounds.h"
#include "Sardineford/Http/Status.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <set>

namespace sardineford::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

Request toRequest(bhttp::request<GrowingBody> &&in) {
  Request out;
  out.Method = std::string(in.method_string());
  out.Target = std::string(in.target());
  for (const auto &it : in)
    out.Fields.add(std::string(it.name_string()), std::string(it.value()));
  out.Body = std::move(in.body());
  return out;
}

template <class Message> void copyHead(const Response &from, Message &to) {
  to.result(from.Status);
  for (const Header &it : from.Fields.Fields)
    to.insert(it.Name, it.Value);
}

/// Returns the error response to a failed read, or none if the connection is
/// closed without a response.
std::optional<Response> responseForReadError(beast::error_code ec) {
  auto make = [](unsigned status, ErrorKind kind, const char *message,
                 const char *remedy) {
    return problem(status, Error(kind, message, remedy), Executed::No);
  };
  if (ec == bhttp::error::body_limit)
    return make(413, ErrorKind::TooLarge,
                "the request body exceeds the size limit",
                "send a smaller body");
  if (ec == bhttp::error::header_limit)
    return make(431, ErrorKind::TooLarge,
                "the request headers exceed the size limit",
                "send fewer or shorter headers");
  if (ec == bhttp::error::buffer_overflow)
    return make(400, ErrorKind::TooLarge,
                "a chunk header or trailer of the request exceeds the size "
                "limit",
                "send shorter chunk extensions and fewer trailers");
  if (ec == beast::error::timeout)
    return make(408, ErrorKind::BadRequest,
                "the request was not received within the read timeout",
                "send the whole request within the read timeout");
  if (ec.category() ==
          bhttp::make_error_code(bhttp::error::bad_version).category() &&
      ec != bhttp::error::end_of_stream && ec != bhttp::error::partial_message)
    return make(400, ErrorKind::BadRequest, "the request is not valid HTTP",
                "send an HTTP/1.1 request");
  return std::nullopt;
}

/// Returns why a failed read is rejected, for the metrics.
std::string_view reasonForReadError(beast::error_code ec) {
  if (ec == bhttp::error::body_limit)
    return "body_size";
  if (ec == bhttp::error::header_limit || ec == bhttp::error::buffer_overflow)
    return "header_size";
  if (ec == beast::error::timeout)
    return "read_timeout";
  return "invalid";
}

/// Time until a caller that gave way may find memory or a connection again.
constexpr Milliseconds RetryAfterOverload{1'000};

/// Returns the response to a request that gives way to others.
Response overloadResponse() {
  return problem(StatusUnavailable,
                 Error(ErrorKind::NotReady,
                       "the requests that are being received take too much "
                       "memory or too many connections",
                       "send the request again later"),
                 Executed::No, RetryAfterOverload);
}

/// Returns the response to a request that a stopping process has received in
/// part.
Response stoppedResponse() {
  return problem(StatusUnavailable,
                 Error(ErrorKind::NotReady,
                       "the process stops before the request is complete",
                       "send the request to another process"),
                 Executed::No);
}

using Parser = bhttp::request_parser<GrowingBody>;

/// Returns whether the body's length cannot be told: it has a transfer coding
/// that does not end in "chunked".
bool hasUnknownLength(const Parser &parser) {
  return parser.get().count(bhttp::field::transfer_encoding) > 0 &&
         !parser.chunked();
}

/// Longest chunk header or trailer of a request.
constexpr size_t MaxChunkHeaderBytes = size_t{16} * 1024;

/// Buffer size of the first read of a request; large enough for most request
/// heads.
constexpr size_t FirstReadBytes = 2048;

/// A request being served holds its body and the copy that is sent to a server.
constexpr size_t CopiesOfBody = 2;

/// A response that its caller has not read for this long may be given up.
constexpr Milliseconds UnreadGrace{250};

/// Bounds on what is still read after a rejection, so that the reset of a
/// closed connection with unread bytes does not destroy the response.
constexpr Milliseconds DrainTime{2'000};
constexpr size_t MaxDrainBytes = size_t{16} * 1024 * 1024;
constexpr size_t DrainBufferBytes = size_t{16} * 1024;

/// Part of the maximum number of connections by which those that are being
/// closed for others may exceed it. Without it, 469 connections and other
/// descriptors were open at a maximum of 256.
constexpr size_t EndingDivisor = 4;

/// One connection, its use and the memory that it holds.
struct Connection {
  Connection(tcp::socket socket, std::shared_ptr<ReceiveMemory> memory)
      : Stream(std::move(socket)), Memory(std::move(memory)),
        Share(*Memory, [this] { endForMemory(); }) {}

  beast::tcp_stream Stream;
  std::shared_ptr<ReceiveMemory> Memory;
  MemoryShare Share;
  ConnectionState State{ConnectionUse::Idle, MonoClock::now()};
  /// The connection gives its place to a new one.
  bool Evicted = false;
  /// The peer may still send the rest of a request that was rejected.
  bool HasUnreadRequest = false;
  size_t BodyBytes = 0;

  void use(ConnectionUse u) { State = {u, MonoClock::now()}; }

  /// Sets the memory that is held. The share is given up if it is the largest.
  void hold(size_t bytes) {
    Share.resize(bytes - std::min(bytes, ConnectionReserveBytes));
  }

  /// Counts a part of a response in the scope.
  class Unread {
  public:
    Unread(Connection &c, size_t bytes) : At(c) {
      At.Share.keepUntil(MonoClock::now() + UnreadGrace);
      At.hold(At.BodyBytes + bytes);
    }
    ~Unread() {
      At.Share.keepUntil(MonoTime::max());
      At.hold(At.BodyBytes);
    }
    Unread(const Unread &) = delete;
    Unread &operator=(const Unread &) = delete;

  private:
    Connection &At;
  };

private:
  void endForMemory() {
    beast::error_code ec;
    if (State.Use == ConnectionUse::Serving)
      Stream.socket().close(ec);
    else
      Stream.cancel();
  }
};

/// Detects that the peer closes the connection while a request is handled.
struct DisconnectWatch {
  std::function<void()> OnDisconnect;
  bool Waiting = false;
};

/// Waits for the next request on an idle connection.
struct IdleWait {
  explicit IdleWait(IoContext &io) : Timer(io) {}

  asio::steady_timer Timer;
  bool Ended = false;
};

/// Counts a request while it is received and handled.
class OpenRequest {
public:
  explicit OpenRequest(size_t &count) : Count(count) { ++Count; }
  ~OpenRequest() { --Count; }
  OpenRequest(const OpenRequest &) = delete;
  OpenRequest &operator=(const OpenRequest &) = delete;

private:
  size_t &Count;
};

/// Lists a connection while a request is received.
class ReceivingMark {
public:
  ReceivingMark(std::set<beast::tcp_stream *> &all, beast::tcp_stream &stream)
      : All(all), Stream(&stream) {
    All.insert(Stream);
  }
  ~ReceivingMark() { All.erase(Stream); }
  ReceivingMark(const ReceivingMark &) = delete;
  ReceivingMark &operator=(const ReceivingMark &) = delete;

private:
  std::set<beast::tcp_stream *> &All;
  beast::tcp_stream *Stream;
};

class Writer : public ResponseWriter {
public:
  /// shouldKeepAlive is called when the response head is sent and returns
  /// whether the connection stays open after the response.
  Writer(Connection &connection, const ServerOptions &options,
         std::function<bool()> shouldKeepAlive)
      : At(connection), Stream(connection.Stream), Options(options),
        ShouldKeepAlive(std::move(shouldKeepAlive)) {}

  Awaitable<void> send(Response r) override {
    bhttp::response<bhttp::string_body> out;
    out.version(11);
    copyHead(r, out);
    out.body() = std::move(r.Body);
    out.keep_alive(decideKeepAlive());
    out.prepare_payload();
    Started = true;
    Connection::Unread unread(At, out.body().size());
    Stream.expires_after(Options.WriteTimeout);
    co_await bhttp::async_write(Stream, out, use_awaitable);
    Complete = true;
  }

  Awaitable<void> startStream(Response head) override {
    bhttp::response<bhttp::empty_body> out;
    out.version(11);
    copyHead(head, out);
    out.chunked(true);
    out.keep_alive(decideKeepAlive());
    bhttp::response_serializer<bhttp::empty_body> serializer(out);
    Started = true;
    Stream.expires_after(Options.WriteTimeout);
    co_await bhttp::async_write_header(Stream, serializer, use_awaitable);
  }

  Awaitable<void> write(std::string data) override {
    if (data.empty())
      co_return;
    Connection::Unread unread(At, data.size());
    Stream.expires_after(Options.WriteTimeout);
    co_await asio::async_write(Stream, bhttp::make_chunk(asio::buffer(data)),
                               use_awaitable);
  }

  Awaitable<void> finish() override {
    Stream.expires_after(Options.WriteTimeout);
    co_await asio::async_write(Stream, bhttp::make_chunk_last(), use_awaitable);
    Complete = true;
  }

  bool started() const override { return Started; }

  void onPeerDisconnected(std::function<void()> f) override {
    Watch->OnDisconnect = std::move(f);
    if (Watch->Waiting)
      return;
    Watch->Waiting = true;
    tcp::socket &socket = Stream.socket();
    socket.async_wait(
        tcp::socket::wait_read, [watch = Watch, &socket](beast::error_code ec) {
          watch->Waiting = false;
          if (!watch->OnDisconnect || ec)
            return;
          std::array<char, 1> buf{};
          socket.receive(asio::buffer(buf), tcp::socket::message_peek, ec);
          // Readable bytes are a pipelined request, not a disconnect.
          if (ec && ec != asio::error::would_block)
            std::exchange(watch->OnDisconnect, nullptr)();
        });
  }

  void abort() override {
    beast::error_code ec;
    Stream.socket().close(ec);
  }

  void stopDisconnectWatch() {
    Watch->OnDisconnect = nullptr;
    if (!Watch->Waiting)
      return;
    beast::error_code ec;
    Stream.socket().cancel(ec);
  }

  /// Returns true if the response is complete and its head announced that the
  /// connection stays open.
  bool mayServeNextRequest() const { return Complete && KeepAlive; }

private:
  bool decideKeepAlive() {
    KeepAlive = ShouldKeepAlive();
    return KeepAlive;
  }

  Connection &At;
  beast::tcp_stream &Stream;
  const ServerOptions &Options;
  std::shared_ptr<DisconnectWatch> Watch = std::make_shared<DisconnectWatch>();
  std::function<bool()> ShouldKeepAlive;
  bool KeepAlive = false;
  bool Started = false;
  bool Complete = false;
};

} // namespace

struct Server::Impl : std::enable_shared_from_this<Server::Impl> {
  Impl(IoContext &io, ServerOptions options, Handler handler)
      : Io(io), Acceptor(io), Options(std::move(options)),
        Handle(std::move(handler)) {
    if (!Options.Memory)
      Options.Memory =
          std::make_shared<ReceiveMemory>(std::numeric_limits<size_t>::max());
  }

  IoContext &Io;
  tcp::acceptor Acceptor;
  ServerOptions Options;
  Handler Handle;
  size_t OpenRequests = 0;
  /// Each connection is closed after its next response.
  bool Draining = false;
  /// Requests that are not complete are rejected.
  bool ReceivingStopped = false;
  /// Connections on which a part of a request has been received.
  std::set<beast::tcp_stream *> Receiving;
  std::set<Connection *> Connections;
  /// Takes bytes that are discarded.
  std::array<char, DrainBufferBytes> DrainBuffer{};

  void bind() {
    tcp::endpoint at(asio::ip::make_address(Options.Listen.Host),
                     Options.Listen.Port);
    Acceptor.open(at.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(at);
    Acceptor.listen();
  }

  Awaitable<void> acceptLoop() {
    auto self = shared_from_this();
    while (Acceptor.is_open()) {
      auto [ec, socket] =
          co_await Acceptor.async_accept(asio::as_tuple(use_awaitable));
      if (ec == asio::error::operation_aborted)
        co_return;
      if (ec) {
        co_await sleepFor(Milliseconds(10));
        continue;
      }
      accept(std::move(socket));
    }
  }

  void reportRejection(std::string_view reason) {
    if (Options.OnRejected)
      Options.OnRejected(reason);
  }

  /// Closes the connection that is needed least. Returns false if there is none
  /// that may be closed.
  bool closeOneConnection() {
    std::vector<Connection *> all;
    std::vector<ConnectionState> states;
    for (Connection *it : Connections) {
      if (it->Evicted)
        continue;
      all.push_back(it);
      states.push_back(it->State);
    }
    std::optional<size_t> chosen = chooseConnectionToClose(states);
    if (!chosen)
      return false;
    all[*chosen]->Evicted = true;
    all[*chosen]->Stream.cancel();
    return true;
  }

  /// Serves a new connection. If there are too many, another one is closed or,
  /// where all are in use, the new one.
  void accept(tcp::socket socket) {
    size_t max = Options.MaxConnections;
    if (max > 0 && Connections.size() >= max) {
      reportRejection("connections");
      bool isFull = Connections.size() > max + max / EndingDivisor;
      if (isFull || !closeOneConnection())
        return;
    }
    auto connection =
        std::make_unique<Connection>(std::move(socket), Options.Memory);
    Connections.insert(connection.get());
    asio::co_spawn(Io, serve(std::move(connection)), asio::detached);
  }

  /// Accepts the connections that wait, since their requests may have arrived
  /// already: a closed listening socket resets them.
  void acceptWaiting() {
    beast::error_code ec;
    Acceptor.non_blocking(true, ec);
    while (!ec) {
      tcp::socket socket(Io);
      Acceptor.accept(socket, ec);
      if (!ec)
        accept(std::move(socket));
    }
  }

  void close() {
    Draining = true;
    beast::error_code ec;
    Acceptor.close(ec);
  }

  Awaitable<void> serve(std::unique_ptr<Connection> connection) {
    auto self = shared_from_this();
    Connection &c = *connection;
    tcp::socket &socket = c.Stream.socket();
    beast::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    // The check for a disconnected peer must not block the process.
    socket.non_blocking(true, ec);
    beast::flat_buffer buf;
    try {
      while (co_await serveOne(c, buf)) {
        // Idle connections hold no buffer.
        buf.shrink_to_fit();
      }
    } catch (const std::exception &e) {
      log::debug(log::Category::Http, "connection closed after an error: {}",
                 e.what());
    }
    if (c.HasUnreadRequest)
      co_await drain(c);
    Connections.erase(&c);
    socket.shutdown(tcp::socket::shutdown_both, ec);
  }

  /// Reads and discards what the peer still sends, within bounds.
  Awaitable<void> drain(Connection &c) {
    c.use(ConnectionUse::Closing);
    beast::error_code ec;
    c.Stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    c.Stream.expires_after(DrainTime);
    size_t all = 0;
    while (!ec && !c.Evicted && all < MaxDrainBytes) {
      size_t n = 0;
      std::tie(ec, n) = co_await c.Stream.async_read_some(
          asio::buffer(DrainBuffer), asio::as_tuple(use_awaitable));
      all += n;
    }
  }

  /// Rejects a request that has not been received completely.
  Awaitable<void> rejectUnread(Connection &c, Response response) {
    Writer writer(c, Options, [] { return false; });
    co_await writer.send(std::move(response));
    c.HasUnreadRequest = true;
  }

  /// Waits for the first byte of the next request. Returns false when the idle
  /// timeout passes or the peer closes the connection.
  Awaitable<bool> waitForRequest(Connection &c, beast::flat_buffer &buf) {
    beast::tcp_stream &stream = c.Stream;
    c.use(ConnectionUse::Idle);
    if (buf.size() > 0)
      co_return true;
    // A raised timeout also holds for connections that are idle already.
    auto wait = std::make_shared<IdleWait>(Io);
    MonoTime start = MonoClock::now();
    stream.socket().async_wait(tcp::socket::wait_read,
                               [wait](beast::error_code /*ec*/) {
                                 wait->Ended = true;
                                 wait->Timer.cancel();
                               });
    while (!wait->Ended && !c.Evicted) {
      MonoTime end = start + Options.IdleTimeout;
      if (MonoClock::now() >= end)
        co_return false;
      wait->Timer.expires_at(end);
      co_await wait->Timer.async_wait(asio::as_tuple(use_awaitable));
    }
    if (c.Evicted)
      co_return false;
    stream.expires_after(Options.ReadTimeout);
    auto [ec, n] = co_await stream.async_read_some(
        buf.prepare(FirstReadBytes), asio::as_tuple(use_awaitable));
    if (ec)
      co_return false;
    buf.commit(n);
    co_return true;
  }

  /// Sends status 100 to a peer that expects it before it sends the body.
  Awaitable<void> sendContinue(beast::tcp_stream &stream,
                               const Parser &parser) {
    if (!beast::iequals(parser.get()[bhttp::field::expect], "100-continue"))
      co_return;
    bhttp::response<bhttp::empty_body> continueResponse(
        bhttp::status::continue_, 11);
    co_await bhttp::async_write(stream, continueResponse, use_awaitable);
  }

  /// Receives a request of which a part may be in the buffer. The body takes
  /// its memory from the budget as it arrives.
  Awaitable<beast::error_code> receive(Connection &c, beast::flat_buffer &buf,
                                       Parser &parser) {
    ReceivingMark mark(Receiving, c.Stream);
    auto [ec, n] = co_await bhttp::async_read_header(
        c.Stream, buf, parser, asio::as_tuple(use_awaitable));
    if (!ec && hasUnknownLength(parser))
      co_return bhttp::error::bad_transfer_encoding;
    if (!ec && !parser.is_done() && !ReceivingStopped && !c.Evicted)
      co_await sendContinue(c.Stream, parser);
    parser.eager(true);
    while (!ec && !parser.is_done() && !ReceivingStopped && !c.Evicted) {
      std::tie(ec, n) = co_await bhttp::async_read_some(
          c.Stream, buf, parser, asio::as_tuple(use_awaitable));
      c.hold(parser.get().body().capacity());
      if (c.Share.isGivenUp())
        co_return asio::error::no_buffer_space;
    }
    if (!ec && !parser.is_done())
      ec = asio::error::operation_aborted;
    co_return ec;
  }

  /// Takes the memory for serving a request that has been received. Others that
  /// are still being received give way. Returns false if that does not suffice.
  bool admit(Connection &c, size_t bodyBytes) {
    c.Share.keepUntil(MonoTime::max());
    c.BodyBytes = bodyBytes * CopiesOfBody;
    c.hold(c.BodyBytes);
    return c.BodyBytes <= ConnectionReserveBytes ||
           !Options.Memory->isExceeded();
  }

  /// Ends a request that could not be received, with a response where the peer
  /// can read one.
  Awaitable<void> endUnreceived(Connection &c, beast::error_code ec) {
    std::optional<Response> response;
    std::string_view reason;
    if (ReceivingStopped) {
      response = stoppedResponse();
      reason = "stopping";
    } else if (c.Evicted || c.Share.isGivenUp()) {
      response = overloadResponse();
      // Connections and shares that give way are counted when they are chosen.
    } else {
      response = responseForReadError(ec);
      reason = reasonForReadError(ec);
    }
    if (!response)
      co_return;
    if (!reason.empty())
      reportRejection(reason);
    co_await rejectUnread(c, std::move(*response));
  }

  /// Reads and handles one request. Returns false when the connection is to be
  /// closed.
  Awaitable<bool> serveOne(Connection &c, beast::flat_buffer &buf) {
    if (!co_await waitForRequest(c, buf))
      co_return false;
    c.use(ConnectionUse::Receiving);
    OpenRequest open(OpenRequests);
    // The limits may have become smaller than what has arrived.
    buf.max_size(
        std::max({Options.MaxHeaderBytes, MaxChunkHeaderBytes, buf.size()}) +
        FirstReadBytes);
    std::optional<Parser> parser(std::in_place);
    parser->header_limit(static_cast<uint32_t>(Options.MaxHeaderBytes));
    parser->body_limit(Options.MaxBodyBytes);
    c.Stream.expires_after(Options.ReadTimeout);
    c.Share.keepUntil(MonoTime{});
    beast::error_code ec = co_await receive(c, buf, *parser);
    if (ec) {
      // Memory that others may use now.
      parser.reset();
      buf = beast::flat_buffer();
      c.hold(0);
      co_await endUnreceived(c, ec);
      co_return false;
    }
    c.use(ConnectionUse::Serving);
    bool keepAlive = parser->get().keep_alive();
    if (!admit(c, parser->get().body().capacity())) {
      parser.reset();
      c.BodyBytes = 0;
      c.hold(0);
      reportRejection("memory");
      co_await rejectUnread(c, overloadResponse());
      co_return false;
    }
    c.Stream.expires_never();
    Writer writer(c, Options,
                  [this, keepAlive] { return keepAlive && !Draining; });
    Request request = toRequest(parser->release());
    parser.reset();
    try {
      co_await Handle(request, writer);
    } catch (...) {
      writer.stopDisconnectWatch();
      throw;
    }
    writer.stopDisconnectWatch();
    c.BodyBytes = 0;
    c.hold(0);
    co_return writer.mayServeNextRequest() && !c.Evicted;
  }
};

Server::Server(IoContext &io, ServerOptions options, Handler handler)
    : Shared(
          std::make_shared<Impl>(io, std::move(options), std::move(handler))) {}

Server::~Server() { Shared->close(); }

void Server::start() {
  Shared->bind();
  asio::co_spawn(Shared->Io, Shared->acceptLoop(), asio::detached);
}

void Server::setLimits(size_t maxHeaderBytes, size_t maxBodyBytes,
                       Milliseconds readTimeout, Milliseconds idleTimeout) {
  Shared->Options.MaxHeaderBytes = maxHeaderBytes;
  Shared->Options.MaxBodyBytes = maxBodyBytes;
  Shared->Options.ReadTimeout = readTimeout;
  Shared->Options.IdleTimeout = idleTimeout;
}

void Server::closeAfterResponses() { Shared->Draining = true; }

void Server::stopAccepting() {
  Shared->acceptWaiting();
  Shared->close();
}

void Server::stopReceiving() {
  Shared->ReceivingStopped = true;
  for (beast::tcp_stream *it : Shared->Receiving)
    it->cancel();
}

size_t Server::openRequests() const { return Shared->OpenRequests; }

size_t Server::connections() const { return Shared->Connections.size(); }

uint16_t Server::port() const {
  return Shared->Acceptor.local_endpoint().port();
}

} // namespace sardineford::http
