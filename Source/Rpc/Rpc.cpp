#include "Sardineford/Rpc/Rpc.h"

#include "Rpc/Session.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Http/Status.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardineford::rpc {

namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;

struct Server::Impl : std::enable_shared_from_this<Server::Impl> {
  Impl(IoContext &io, http::Endpoint listen)
      : Io(io), Listen(std::move(listen)), Acceptor(io) {}

  IoContext &Io;
  http::Endpoint Listen;
  tcp::acceptor Acceptor;
  std::map<std::string, Handler> Handlers;
  Traffic TrafficCounters;

  void bind() {
    tcp::endpoint endpoint(asio::ip::make_address(Listen.Host), Listen.Port);
    Acceptor.open(endpoint.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(endpoint);
    Acceptor.listen();
  }

  Awaitable<void> acceptLoop() {
    auto self = shared_from_this();
    while (Acceptor.is_open()) {
      auto [ec, socket] =
          co_await Acceptor.async_accept(asio::as_tuple(use_awaitable));
      if (ec)
        continue;
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      auto session = std::make_shared<Session>(
          Io, std::move(socket), Session::Side::Server,
          [self](std::shared_ptr<Session> s, int32_t id) {
            self->onRequest(std::move(s), id);
          },
          TrafficCounters);
      session->start();
    }
  }

  void onRequest(std::shared_ptr<Session> session, int32_t id) {
    auto self = shared_from_this();
    spawn(Io, "rpc-call",
          [self, session, id] { return self->handleCall(session, id); });
  }

  Awaitable<void> handleCall(std::shared_ptr<Session> session, int32_t id) {
    auto self = shared_from_this();
    StreamPtr stream = session->find(id);
    if (!stream)
      co_return;
    auto it = Handlers.find(stream->Path);
    if (it == Handlers.end()) {
      session->respond(id, http::StatusNotFound, "");
      co_return;
    }
    unsigned status = http::StatusOk;
    std::string body;
    try {
      body = co_await it->second(stream->Received);
    } catch (const std::exception &e) {
      log::warn(log::Category::Common, "RPC {} failed: {}", stream->Path,
                e.what());
      status = http::StatusInternalServerError;
    }
    session->respond(id, status, std::move(body));
  }
};

Server::Server(IoContext &io, http::Endpoint listen)
    : Shared(std::make_shared<Impl>(io, std::move(listen))) {}

Server::~Server() { stop(); }

void Server::handle(std::string path, Handler h) {
  Shared->Handlers[std::move(path)] = std::move(h);
}

void Server::start() {
  Shared->bind();
  auto impl = Shared;
  spawn(Shared->Io, "rpc-accept", [impl] { return impl->acceptLoop(); });
}

void Server::stop() {
  boost::system::error_code ec;
  Shared->Acceptor.close(ec);
}

const Traffic &Server::traffic() const { return Shared->TrafficCounters; }

struct Client::Impl : std::enable_shared_from_this<Client::Impl> {
  explicit Impl(IoContext &io) : Io(io) {}

  IoContext &Io;
  std::map<http::Endpoint, std::shared_ptr<Session>> Sessions;
  Traffic TrafficCounters;

  Awaitable<std::shared_ptr<Session>> session(http::Endpoint to,
                                              MonoTime deadline) {
    auto it = Sessions.find(to);
    if (it != Sessions.end() && it->second->open())
      co_return it->second;
    tcp::socket socket(Io);
    tcp::endpoint endpoint(asio::ip::make_address(to.Host), to.Port);
    asio::steady_timer timer(Io, deadline);
    using namespace asio::experimental::awaitable_operators;
    auto result = co_await (
        socket.async_connect(endpoint, asio::as_tuple(use_awaitable)) ||
        timer.async_wait(asio::as_tuple(use_awaitable)));
    if (result.index() != 0 || std::get<0>(std::get<0>(result)))
      throw Error(ErrorKind::NotReady,
                  http::toString(to) + " does not accept connections",
                  "check that the process is running");
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    auto s =
        std::make_shared<Session>(Io, std::move(socket), Session::Side::Client,
                                  Session::OnRequest(), TrafficCounters);
    s->start();
    Sessions[to] = s;
    co_return s;
  }

  void closeSession(const http::Endpoint &to,
                    const std::shared_ptr<Session> &s) {
    s->close();
    auto it = Sessions.find(to);
    if (it != Sessions.end() && it->second == s)
      Sessions.erase(it);
  }

  Awaitable<std::string> call(http::Endpoint to, std::string path,
                              std::string body, Milliseconds timeout) {
    auto self = shared_from_this();
    MonoTime deadline = MonoClock::now() + timeout;
    std::shared_ptr<Session> s = co_await session(to, deadline);
    StreamPtr stream = s->request(http::toString(to), path, std::move(body));
    asio::steady_timer timer(Io, deadline);
    using namespace asio::experimental::awaitable_operators;
    if (!stream->Complete && !stream->Failed)
      co_await (stream->Done.async_wait(asio::as_tuple(use_awaitable)) ||
                timer.async_wait(asio::as_tuple(use_awaitable)));
    if (!stream->Complete)
      closeSession(to, s);
    if (!stream->Complete || stream->Failed || stream->Status != http::StatusOk)
      throw Error(ErrorKind::NotReady,
                  http::toString(to) + path + " did not reply",
                  "check that the process is running and reachable");
    co_return std::move(stream->Received);
  }
};

Client::Client(IoContext &io) : Shared(std::make_shared<Impl>(io)) {}

Client::~Client() = default;

Awaitable<std::string> Client::call(http::Endpoint to, std::string path,
                                    std::string body, Milliseconds timeout) {
  return Shared->call(std::move(to), std::move(path), std::move(body), timeout);
}

const Traffic &Client::traffic() const { return Shared->TrafficCounters; }

} // namespace sardineford::rpc
