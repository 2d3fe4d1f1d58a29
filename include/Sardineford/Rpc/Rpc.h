#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Common/Error.h"
#include "Sardineford/Http/Message.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sardineford::rpc {

/// Handles one call: receives the serialized request and returns the serialized
/// reply.
using Handler = std::function<Awaitable<std::string>(std::string body)>;

/// Bytes that a process has sent to its peers and received from them.
struct Traffic {
  uint64_t Sent = 0;
  uint64_t Received = 0;
};

/// Serves calls between processes of the system over HTTP/2.
class Server {
public:
  Server(IoContext &io, http::Endpoint listen);
  ~Server();

  /// Registers the handler of a path such as "/exchange".
  void handle(std::string path, Handler h);
  void start();
  void stop();
  const Traffic &traffic() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

/// Makes calls over one HTTP/2 connection per peer. A call that times out
/// closes the connection, so that the next call opens a new one: a stalled
/// connection does not mean that the peer is unreachable.
class Client {
public:
  explicit Client(IoContext &io);
  ~Client();

  /// Returns the reply. Throws Error(NotReady) if the peer is unreachable, does
  /// not reply within the timeout, or replies with an error.
  Awaitable<std::string> call(http::Endpoint to, std::string path,
                              std::string body, Milliseconds timeout);
  const Traffic &traffic() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace sardineford::rpc
