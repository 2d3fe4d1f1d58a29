#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Http/Message.h"

#include <functional>
#include <memory>

namespace sardineford::http {

struct ServerOptions {
  Endpoint Listen;
  size_t MaxHeaderBytes = size_t{16} * 1024;
  size_t MaxBodyBytes = size_t{4} * 1024 * 1024;
  /// Longest time from the first byte of a request to its last.
  Milliseconds ReadTimeout{30'000};
  /// Longest time that a kept connection waits for its next request.
  Milliseconds IdleTimeout{30'000};
  /// Longest time that one write may wait for a slow reader.
  Milliseconds WriteTimeout{10'000};
};

/// Sends the answer to one request, whole or as a stream of chunks.
class ResponseWriter {
public:
  virtual ~ResponseWriter() = default;

  /// Sends a whole answer.
  virtual Awaitable<void> send(Response r) = 0;
  /// Sends status and headers of a chunked answer. The body is ignored.
  virtual Awaitable<void> startStream(Response head) = 0;
  /// Sends one chunk. Throws when the peer is gone or reads too slowly.
  virtual Awaitable<void> write(std::string data) = 0;
  /// Ends a chunked answer.
  virtual Awaitable<void> finish() = 0;
  /// True once status and headers were sent.
  virtual bool started() const = 0;
  /// Calls the function, at most once, when the peer closes the connection
  /// before the answer is complete.
  virtual void onPeerDisconnected(std::function<void()> f) = 0;
  /// Closes the connection without completing the answer.
  virtual void abort() = 0;
};

using Handler = std::function<Awaitable<void>(Request &, ResponseWriter &)>;

/// An HTTP/1.1 server with keep-alive. Runs on one thread.
class Server {
public:
  Server(IoContext &io, ServerOptions options, Handler handler);
  ~Server();

  /// Binds and accepts. Throws when the address cannot be bound.
  void start();
  /// Takes effect with the next request of each connection.
  void setLimits(size_t maxHeaderBytes, size_t maxBodyBytes,
                 Milliseconds readTimeout, Milliseconds idleTimeout);
  /// Kept connections end with their next answer; new ones are still taken.
  void closeAfterResponses();
  /// Closes the listening socket. Open requests go on; kept connections end
  /// with their next answer.
  void stopAccepting();
  /// Number of requests whose answer is not complete.
  size_t openRequests() const;
  /// The bound port.
  uint16_t port() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace sardineford::http
