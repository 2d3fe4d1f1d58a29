#include "Sardineford/Http/Client.h"

#include "Sardineford/Http/Status.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <array>
#include <map>
#include <optional>

namespace sardineford::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

/// Beyond this number, endpoints without connections are forgotten, with their
/// limits.
constexpr size_t MaxCountedEndpoints = 4'096;
/// A peer that accepts no further connection resets it within a round trip; the
/// rest is for a busy event loop.
constexpr Milliseconds MaxResetTime{50};
constexpr size_t ReadBufferBytes = size_t{16} * 1024;
/// Bytes that a response receives before the event loop runs again.
constexpr size_t MaxBytesPerTurn = size_t{64} * 1024;
/// Longest chunk header, trailer or other part of a response that has to be
/// received as a whole. The parser limits the head by itself.
constexpr size_t MaxElementBytes = size_t{16} * 1024;
/// Most informational responses before the final one.
constexpr int MaxInformational = 16;
constexpr unsigned StatusSwitchingProtocols = 101;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastFinalStatus = 599;
/// The kernel closes a connection with bytes unacknowledged for this long. The
/// limit is well above the round trip time of a loaded link and well below the
/// deadlines of long responses.
constexpr int UserTimeoutMs = 4'000;
/// A dead idle connection is detected after about 4 s: 2 s idle time and two
/// probes at an interval of 1 s.
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

/// Connections to one endpoint.
struct EndpointUse {
  size_t Open = 0;
  ConnectionLimit Limit;
};

struct Connection {
  Connection(tcp::socket s, std::shared_ptr<EndpointUse> use)
      : Stream(std::move(s)), Use(std::move(use)) {
    ++Use->Open;
  }
  ~Connection() { --Use->Open; }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer{MaxElementBytes + ReadBufferBytes};
  std::shared_ptr<EndpointUse> Use;
  bool Reused = false;
  MonoTime OpenedAt{};
  MonoTime IdleSince{};
  /// Idle time after which the peer closes the connection, as announced in its
  /// Keep-Alive header.
  Milliseconds PeerIdleLimit = Milliseconds::max();
};

/// Returns whether the peer says that it has not processed the request.
bool isRejection(unsigned status) {
  return status == StatusMisdirected || status == StatusTooManyRequests ||
         status == StatusUnavailable;
}

using ConnectionPtr = std::shared_ptr<Connection>;

using BeastRequest = bhttp::request<bhttp::string_body>;

/// A request that is being sent. The response can arrive before the request is
/// sent completely.
struct OutgoingRequest {
  BeastRequest Message;
  bool Done = false;
  beast::error_code Error;
};

/// Returns true when the peer has neither closed an idle connection nor sent
/// bytes without a request.
bool isReusable(Connection &c) {
  std::array<char, 1> buf{};
  beast::error_code ec;
  c.Stream.socket().receive(asio::buffer(buf), tcp::socket::message_peek, ec);
  return ec == asio::error::would_block;
}

void setSocketOptions(tcp::socket &s) {
  beast::error_code ec;
  s.non_blocking(true, ec);
  s.set_option(tcp::no_delay(true), ec);
  s.set_option(asio::socket_base::keep_alive(true), ec);
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  s.set_option(UserTimeout(UserTimeoutMs), ec);
  using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Probes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  s.set_option(Idle(KeepAliveIdleSeconds), ec);
  s.set_option(Interval(KeepAliveIntervalSeconds), ec);
  s.set_option(Probes(KeepAliveProbes), ec);
}

/// Returns whether the peer has ended its bytes properly. A read may return
/// their end after a reset, too: a socket reports an error once, and a write
/// may have received it.
bool hasPeerEnded(tcp::socket &s) {
  tcp_info info{};
  socklen_t n = sizeof(info);
  return ::getsockopt(s.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &n) ==
             0 &&
         info.tcpi_state == TCP_CLOSE_WAIT;
}

/// Returns whether an error of the parser is due to bytes that are no response,
/// rather than to the end of the connection.
bool isMalformed(beast::error_code ec) {
  beast::error_code end = bhttp::error::end_of_stream;
  return ec.category() == end.category() && ec != end &&
         ec != bhttp::error::partial_message;
}

/// Returns the idle time after which the peer closes the connection, from the
/// header "Keep-Alive: timeout=N".
Milliseconds peerIdleLimit(const Headers &fields) {
  std::optional<std::string> value = fields.find("Keep-Alive");
  size_t at = value ? value->find("timeout=") : std::string::npos;
  if (at == std::string::npos)
    return Milliseconds::max();
  return std::chrono::seconds(std::atol(value->c_str() + at + 8));
}

BeastRequest toBeast(const Endpoint &to, Request &&request) {
  BeastRequest out;
  out.version(11);
  out.method_string(request.Method);
  out.target(request.Target);
  if (!request.Fields.find("Host"))
    out.set(bhttp::field::host, toString(to));
  for (const Header &it : request.Fields.Fields)
    out.insert(it.Name, it.Value);
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

/// Returns whether the final response follows on the connection.
bool isInformational(unsigned status) {
  return status / 100 == 1 && status != StatusSwitchingProtocols;
}

/// Returns whether a response with the status can be passed on. Requests never
/// ask for another protocol.
bool isFinal(unsigned status) {
  return status >= FirstFinalStatus && status <= LastFinalStatus;
}

} // namespace

struct Client::Impl : std::enable_shared_from_this<Client::Impl> {
  explicit Impl(IoContext &io) : Io(io) {}

  IoContext &Io;
  ReceiveMemory Memory{MaxReceiveMemory};
  std::map<Endpoint, std::vector<ConnectionPtr>> Idle;
  std::map<Endpoint, std::shared_ptr<EndpointUse>> Uses;

  ConnectionPtr acquireIdle(const Endpoint &to, Milliseconds maxIdle) {
    auto it = Idle.find(to);
    MonoTime now = MonoClock::now();
    while (it != Idle.end() && !it->second.empty()) {
      ConnectionPtr c = std::move(it->second.back());
      it->second.pop_back();
      // Half of the peer's limit leaves time for the request to arrive before
      // the peer closes the connection.
      Milliseconds limit = std::min(maxIdle, c->PeerIdleLimit / 2);
      if (now - c->IdleSince <= limit && isReusable(*c)) {
        c->Reused = true;
        return c;
      }
    }
    return nullptr;
  }

  void releaseIdle(const Endpoint &to, ConnectionPtr c) {
    std::vector<ConnectionPtr> &idle = Idle[to];
    c->IdleSince = MonoClock::now();
    const EndpointUse &use = *c->Use;
    if (idle.size() < use.Limit.Idle && use.Open <= use.Limit.Open)
      idle.push_back(std::move(c));
  }

  std::shared_ptr<EndpointUse> useOf(const Endpoint &to) {
    std::shared_ptr<EndpointUse> &use = Uses[to];
    if (use)
      return use;
    use = std::make_shared<EndpointUse>();
    std::shared_ptr<EndpointUse> out = use;
    if (Uses.size() > MaxCountedEndpoints)
      std::erase_if(Uses, [&](const auto &it) {
        return it.second != out && it.second->Open == 0;
      });
    return out;
  }

  size_t idleCount(const Endpoint &to) const {
    auto it = Idle.find(to);
    return it == Idle.end() ? 0 : it->second.size();
  }

  /// Closes idle connections, the oldest first, that are old or beyond the
  /// limit.
  void trimIdle(const Endpoint &to, const EndpointUse &use) {
    auto it = Idle.find(to);
    if (it == Idle.end())
      return;
    std::vector<ConnectionPtr> &idle = it->second;
    MonoTime now = MonoClock::now();
    while (!idle.empty() &&
           (idle.size() > use.Limit.Idle || use.Open > use.Limit.Open ||
            now - idle.front()->IdleSince > use.Limit.MaxIdleTime))
      idle.erase(idle.begin());
    if (idle.empty())
      Idle.erase(it);
  }

  /// Makes place for a new connection. Throws if there is none.
  void makePlace(const Endpoint &to, const EndpointUse &use) {
    if (use.Open < use.Limit.Open)
      return;
    auto it = Idle.find(to);
    while (it != Idle.end() && !it->second.empty() &&
           use.Open >= use.Limit.Open)
      it->second.erase(it->second.begin());
    if (use.Open < use.Limit.Open)
      return;
    TransportError e(TransportStage::NothingSent, false,
                     "connect to " + toString(to) +
                         ": this process has its part of the connections");
    e.AtLimit = true;
    throw e;
  }

  /// Makes the abort handle close this connection.
  static void bindAbort(const std::shared_ptr<AbortHandle> &abort,
                        const ConnectionPtr &c) {
    if (!abort)
      return;
    abort->Close = [c] {
      beast::error_code ec;
      c->Stream.socket().close(ec);
    };
  }

  Awaitable<ConnectionPtr> connect(Endpoint to, Milliseconds timeout,
                                   std::shared_ptr<AbortHandle> abort) {
    beast::error_code ec;
    asio::ip::address address = asio::ip::make_address(to.Host, ec);
    if (ec)
      throw TransportError(TransportStage::NothingSent, false,
                           toString(to) + " is not an IP address and port");
    std::shared_ptr<EndpointUse> use = useOf(to);
    makePlace(to, *use);
    auto c = std::make_shared<Connection>(tcp::socket(Io), use);
    bindAbort(abort, c);
    c->Stream.expires_after(timeout);
    auto [failed] = co_await c->Stream.async_connect(
        tcp::endpoint(address, to.Port), asio::as_tuple(use_awaitable));
    if (failed) {
      TransportError e(TransportStage::NothingSent,
                       failed == beast::error::timeout,
                       "connect to " + toString(to) + ": " + failed.message(),
                       failed == asio::error::connection_refused);
      e.ResetOnNew = failed == asio::error::connection_reset;
      throw e;
    }
    c->OpenedAt = MonoClock::now();
    setSocketOptions(c->Stream.socket());
    co_return c;
  }

  Awaitable<std::unique_ptr<ResponseStream>>
  send(Endpoint to, BeastRequest message, CallOptions options);
  Awaitable<std::unique_ptr<ResponseStream>> open(Endpoint to, Request request,
                                                  CallOptions options);
};

namespace {

/// Waits for bytes on a connection. Shared with the pending wait, which may
/// outlive the response.
struct Readiness {
  bool Waiting = false;
  /// Bytes received since the last wait.
  size_t Received = 0;
  std::function<void()> Notify;
};

class Stream : public ResponseStream {
public:
  Stream(std::shared_ptr<Client::Impl> owner, Endpoint to, ConnectionPtr c,
         std::shared_ptr<OutgoingRequest> out,
         std::shared_ptr<AbortHandle> abort)
      : Owner(std::move(owner)), To(std::move(to)), Conn(std::move(c)),
        Outgoing(std::move(out)), Abort(std::move(abort)) {
    startParser();
  }

  ~Stream() override {
    if (Abort)
      Abort->Close = nullptr;
    Ready->Notify = nullptr;
    // Bytes after a complete response belong to no request, and a request that
    // is still being sent would mix with the next one. Neither connection is
    // reused.
    bool clean = Conn->Buffer.size() == 0 && Outgoing->Done &&
                 !Outgoing->Error && !Ready->Waiting;
    if (ResponseParser->is_done() && ResponseParser->get().keep_alive() &&
        clean && !Closed) {
      Conn->PeerIdleLimit = peerIdleLimit(Head.Fields);
      Owner->releaseIdle(To, std::move(Conn));
    } else {
      close();
    }
  }

  bool isReady() override {
    for (;;) {
      if (!GivenUpReason.empty())
        return true;
      if (parse() || AtEnd || Error)
        return true;
      // A peer that sends faster than its bytes are used would keep the event
      // loop from everything else.
      if (Ready->Received >= MaxBytesPerTurn)
        return false;
      receive();
      if (Blocked)
        return false;
    }
  }

  void notifyReady(std::function<void()> f) override {
    Ready->Notify = std::move(f);
    if (std::exchange(Ready->Waiting, true))
      return;
    Conn->Stream.socket().async_wait(
        tcp::socket::wait_read,
        [ready = Ready, c = Conn](beast::error_code /*ec*/) {
          ready->Waiting = false;
          ready->Received = 0;
          if (ready->Notify)
            std::exchange(ready->Notify, nullptr)();
        });
  }

  Awaitable<void> receiveHead(Milliseconds timeout) override {
    co_await waitUntilReady(timeout);
    if (!ResponseParser->is_header_done())
      fail(Error);
    Head = headOf(ResponseParser->get());
    HeadReceived = true;
  }

  const Response &head() const override { return Head; }
  bool isReused() const { return Conn->Reused; }

  Awaitable<std::string> read(Milliseconds timeout) override {
    co_await waitUntilReady(timeout);
    if (!GivenUpReason.empty())
      throw TransportError(TransportStage::Sent, false,
                           "response from " + toString(To) + ": " +
                               GivenUpReason);
    if (Part.empty() && !ResponseParser->is_done())
      fail(Error);
    co_return std::exchange(Part, {});
  }

  void close() override {
    Closed = true;
    beast::error_code ec;
    Conn->Stream.socket().close(ec);
  }

  void giveUp(std::string reason) override {
    GivenUpReason = std::move(reason);
    close();
  }

private:
  Awaitable<void> waitUntilReady(Milliseconds timeout) {
    std::vector<ResponseStream *> self = {this};
    if (!co_await waitForAny(self, timeout))
      fail(beast::error::timeout);
  }

  void startParser() {
    ResponseParser.emplace();
    ResponseParser->body_limit(boost::none);
  }

  /// Discards an informational response, so that the final one can be parsed,
  /// and one whose status is not in use.
  void checkStatus() {
    if (HeadReceived || !ResponseParser->is_header_done())
      return;
    unsigned status = ResponseParser->get().result_int();
    if (isFinal(status))
      return;
    startParser();
    if (!isInformational(status))
      Error = bhttp::error::bad_status;
    else if (++NumInformational > MaxInformational)
      Error = bhttp::error::header_limit;
  }

  bool hasNews() const {
    return HeadReceived ? !Part.empty() || ResponseParser->is_done()
                        : ResponseParser->is_header_done();
  }

  /// Parses the buffered bytes. Returns true if the head, a part of the body or
  /// its end can be delivered.
  bool parse() {
    while (!hasNews() && !Error && Conn->Buffer.size() > 0) {
      size_t before = Conn->Buffer.size();
      parseBuffer();
      if (!hasNews() && Conn->Buffer.size() == before)
        break;
    }
    return hasNews();
  }

  /// Parses the head, or what the buffer holds of the body.
  void parseBuffer() {
    auto &body = ResponseParser->get().body();
    std::string part;
    if (HeadReceived)
      part.resize(Conn->Buffer.size());
    body.data = part.data();
    body.size = part.size();
    body.more = true;
    beast::error_code ec;
    do
      Conn->Buffer.consume(ResponseParser->put(Conn->Buffer.data(), ec));
    while (!ec && HeadReceived && !ResponseParser->is_done() &&
           Conn->Buffer.size() > 0);
    part.resize(part.size() - body.size);
    Part = std::move(part);
    bool isIncomplete = ec == bhttp::error::need_more;
    if (isIncomplete && Conn->Buffer.size() >= MaxElementBytes)
      Error = bhttp::error::buffer_overflow;
    else if (ec && !isIncomplete && ec != bhttp::error::need_buffer)
      Error = ec;
    checkStatus();
  }

  /// Receives what has arrived, without waiting.
  void receive() {
    beast::error_code ec;
    size_t n = Conn->Stream.socket().read_some(
        Conn->Buffer.prepare(ReadBufferBytes), ec);
    Blocked = ec == asio::error::would_block;
    if (Blocked)
      return;
    if (!ec) {
      Conn->Buffer.commit(n);
      Ready->Received += n;
      return;
    }
    bool isSent = Outgoing->Done && !Outgoing->Error;
    if (ec == asio::error::eof && !isSent &&
        !hasPeerEnded(Conn->Stream.socket()))
      ec = asio::error::connection_reset;
    if (ec != asio::error::eof || !ResponseParser->got_some()) {
      Error = ec == asio::error::eof ? bhttp::error::end_of_stream : ec;
      return;
    }
    AtEnd = true;
    ResponseParser->put_eof(ec);
    Error = ec;
  }

  [[noreturn]] void fail(beast::error_code ec) {
    Closed = true;
    bool timedOut =
        ec == beast::error::timeout || Outgoing->Error == beast::error::timeout;
    // Other idle connections to the endpoint may be dead too.
    if (timedOut)
      Owner->Idle.erase(To);
    close();
    TransportError e(TransportStage::Sent, timedOut,
                     "response from " + toString(To) + ": " + ec.message());
    e.Malformed = isMalformed(ec);
    bool isReset =
        ec == asio::error::connection_reset || ec == asio::error::broken_pipe;
    e.ResetOnNew = isReset && !Conn->Reused && !ResponseParser->got_some() &&
                   MonoClock::now() - Conn->OpenedAt <= MaxResetTime;
    throw e;
  }

  std::shared_ptr<Client::Impl> Owner;
  Endpoint To;
  ConnectionPtr Conn;
  std::shared_ptr<OutgoingRequest> Outgoing;
  std::shared_ptr<AbortHandle> Abort;
  std::shared_ptr<Readiness> Ready = std::make_shared<Readiness>();
  std::optional<Parser> ResponseParser;
  int NumInformational = 0;
  Response Head;
  bool HeadReceived = false;
  /// Part of the body that is parsed but not delivered yet.
  std::string Part;
  /// The last receive found no bytes.
  bool Blocked = false;
  /// The peer has closed the connection.
  bool AtEnd = false;
  beast::error_code Error;
  bool Closed = false;
  /// Empty unless the response was given up.
  std::string GivenUpReason;
};

} // namespace

Awaitable<std::unique_ptr<ResponseStream>>
Client::Impl::send(Endpoint to, BeastRequest message, CallOptions options) {
  auto self = shared_from_this();
  ConnectionPtr c =
      options.FreshConnection ? nullptr : acquireIdle(to, options.MaxIdleTime);
  if (!c)
    c = co_await connect(to, options.ConnectTimeout, options.Abort);
  bindAbort(options.Abort, c);
  if (options.ResetOnClose) {
    beast::error_code ec;
    c->Stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
  }
  if ((options.BeforeSend && !options.BeforeSend()) ||
      (options.Abort && options.Abort->aborted()))
    throw TransportError(TransportStage::NothingSent, false,
                         "the call to " + toString(to) + " was cancelled");
  auto out = std::make_shared<OutgoingRequest>();
  out->Message = std::move(message);
  c->Stream.expires_after(options.Timeout);
  bhttp::async_write(c->Stream, out->Message,
                     [out, c](beast::error_code ec, size_t) {
                       out->Done = true;
                       out->Error = ec;
                     });
  co_return std::make_unique<Stream>(self, to, std::move(c), out,
                                     options.Abort);
}

Awaitable<std::unique_ptr<ResponseStream>>
Client::Impl::open(Endpoint to, Request request, CallOptions options) {
  BeastRequest message = toBeast(to, std::move(request));
  for (;;) {
    std::unique_ptr<ResponseStream> stream =
        co_await send(to, message, options);
    try {
      co_await stream->receiveHead(options.Timeout);
    } catch (const TransportError &e) {
      // A peer may close an idle connection at any time, which is not a failure
      // of the peer. A timeout is.
      bool resend = static_cast<Stream &>(*stream).isReused() &&
                    options.ResendOnStale && !e.TimedOut;
      if (!resend || (options.Abort && options.Abort->aborted()))
        throw;
      continue;
    }
    co_return stream;
  }
}

Awaitable<ResponseStream *>
waitForAny(const std::vector<ResponseStream *> &responses,
           Milliseconds timeout) {
  auto readyOne = [&]() -> ResponseStream * {
    for (ResponseStream *it : responses)
      if (it->isReady())
        return it;
    return nullptr;
  };
  MonoTime end = MonoClock::now() + timeout;
  if (ResponseStream *it = readyOne())
    co_return it;
  if (MonoClock::now() >= end)
    co_return nullptr;
  auto wake = std::make_shared<asio::steady_timer>(
      co_await asio::this_coro::executor, end);
  for (;;) {
    for (ResponseStream *it : responses)
      it->notifyReady([wake] { wake->cancel(); });
    co_await wake->async_wait(asio::as_tuple(use_awaitable));
    if (ResponseStream *it = readyOne())
      co_return it;
    if (MonoClock::now() >= end)
      co_return nullptr;
    wake->expires_at(end);
  }
}

BodyCollector::BodyCollector(ReceiveMemory &memory, ResponseStream &response)
    : Response(response), Share(memory, [this] {
        Body = {};
        Response.giveUp(MemoryExceeded);
      }) {}

void BodyCollector::append(std::string_view part) {
  if (Body.size() + part.size() > MaxBodyBytes) {
    take();
    Response.giveUp("the body exceeds " + std::to_string(MaxBodyBytes) +
                    " bytes");
  }
  if (Share.isGivenUp())
    return;
  Body += part;
  Share.resize(Body.size());
}

std::string BodyCollector::take() {
  Share.resize(0);
  return std::exchange(Body, {});
}

Awaitable<std::string> readBody(ResponseStream &response, ReceiveMemory &memory,
                                MonoTime deadline) {
  BodyCollector body(memory, response);
  for (;;) {
    std::string part =
        co_await response.read(toMilliseconds(deadline - MonoClock::now()));
    if (part.empty())
      co_return body.take();
    body.append(part);
  }
}

Client::Client(IoContext &io) : Shared(std::make_shared<Impl>(io)) {}

Client::~Client() = default;

Awaitable<std::unique_ptr<ResponseStream>>
Client::send(Endpoint to, Request request, CallOptions options) {
  BeastRequest message = toBeast(to, std::move(request));
  return Shared->send(std::move(to), std::move(message), std::move(options));
}

ReceiveMemory &Client::receiveMemory() { return Shared->Memory; }

void Client::closeIdle(const Endpoint &to) { Shared->Idle.erase(to); }

void Client::setLimit(const Endpoint &to, const ConnectionLimit &limit) {
  std::shared_ptr<EndpointUse> use = Shared->useOf(to);
  use->Limit = limit;
  Shared->trimIdle(to, *use);
}

ConnectionCounts Client::connections(const Endpoint &to) const {
  auto it = Shared->Uses.find(to);
  return {it == Shared->Uses.end() ? 0 : it->second->Open,
          Shared->idleCount(to)};
}

Awaitable<std::unique_ptr<ResponseStream>>
Client::open(Endpoint to, Request request, CallOptions options) {
  return Shared->open(std::move(to), std::move(request), options);
}

Awaitable<Response> Client::call(Endpoint to, Request request,
                                 CallOptions options) {
  MonoTime deadline = MonoClock::now() + options.Timeout;
  std::unique_ptr<ResponseStream> stream =
      co_await Shared->open(std::move(to), std::move(request), options);
  Response r = stream->head();
  r.Body = co_await readBody(*stream, Shared->Memory, deadline);
  // The response has no id that would tell it from a copy for the next call.
  if (isRejection(r.Status))
    stream->close();
  co_return r;
}

} // namespace sardineford::http
