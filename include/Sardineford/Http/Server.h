#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Http/Message.h"
#include "Sardineford/Http/ReceiveMemory.h"

#include <functional>
#include <memory>

namespace sardineford::http {

struct ServerOptions {
  Endpoint Listen;
  size_t MaxHeaderBytes = size_t{16} * 1024;
  size_t MaxBodyBytes = size_t{4} * 1024 * 1024;
  /// Time limit for receiving a request, from its first byte to its last.
  Milliseconds ReadTimeout{30'000};
  /// Connections without a new request for this long are closed.
  Milliseconds IdleTimeout{30'000};
  /// Time limit of one write to a slow peer.
  Milliseconds WriteTimeout{10'000};
  /// Budget for bodies and unread responses, which servers may share; none if
  /// empty.
  std::shared_ptr<ReceiveMemory> Memory;
  /// Maximum number of connections; 0 for no limit.
  size_t MaxConnections = 0;
  /// Called with the reason when a request that is not received completely is
  /// rejected, or a connection is closed for a new one.
  std::function<void(std::string_view reason)> OnRejected;
};

/// Sends the response to one request, either at once or in chunks.
class ResponseWriter {
public:
  virtual ~ResponseWriter() = default;

  /// Sends a complete response.
  virtual Awaitable<void> send(Response r) = 0;
  /// Sends status and headers of a chunked response. The body is ignored.
  virtual Awaitable<void> startStream(Response head) = 0;
  /// Sends one chunk. Throws when the peer has disconnected or reads too
  /// slowly.
  virtual Awaitable<void> write(std::string data) = 0;
  /// Ends a chunked response.
  virtual Awaitable<void> finish() = 0;
  /// Returns true once status and headers have been sent.
  virtual bool started() const = 0;
  /// Calls the function, at most once, when the peer closes the connection
  /// before the response is complete.
  virtual void onPeerDisconnected(std::function<void()> f) = 0;
  /// Closes the connection without completing the response.
  virtual void abort() = 0;
};

using Handler = std::function<Awaitable<void>(Request &, ResponseWriter &)>;

/// An HTTP/1.1 server with keep-alive. Runs on one thread.
class Server {
public:
  Server(IoContext &io, ServerOptions options, Handler handler);
  ~Server();

  /// Binds the address and starts to accept connections. Throws when the
  /// address cannot be bound.
  void start();
  /// Applies to the next request of each connection.
  void setLimits(size_t maxHeaderBytes, size_t maxBodyBytes,
                 Milliseconds readTimeout, Milliseconds idleTimeout);
  /// Closes every connection after its next response. New connections are
  /// still accepted.
  void closeAfterResponses();
  /// Closes the listening socket and every connection after its next response.
  /// Connections that wait to be accepted are still accepted, and open requests
  /// are completed.
  void stopAccepting();
  /// Rejects the requests of which only a part has been received.
  void stopReceiving();
  /// Number of requests of which at least a part has been read, without a
  /// complete response.
  size_t openRequests() const;
  size_t connections() const;
  /// Returns the port that the server is bound to.
  uint16_t port() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace sardineford::http
