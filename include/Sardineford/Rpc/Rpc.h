#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Common/Error.h"
#include "Sardineford/Http/Message.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sardineford::rpc {

/// Answers one call: takes the bytes of a message, returns those of the reply.
using Handler = std::function<Awaitable<std::string>(std::string body)>;

/// Bytes that a process exchanged with others of the system.
struct Traffic {
  uint64_t Sent = 0;
  uint64_t Received = 0;
};

/// Serves calls between the system's own processes over HTTP/2.
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

/// Makes calls over one HTTP/2 connection per peer. A call that gets no reply
/// in time closes the connection, so that the next one opens a fresh one: a
/// silent connection is no verdict on the peer.
class Client {
public:
  explicit Client(IoContext &io);
  ~Client();

  /// Returns the reply. Throws Error(NotReady) when the peer cannot be reached
  /// or does not reply in time.
  Awaitable<std::string> call(http::Endpoint to, std::string path,
                              std::string body, Milliseconds timeout);
  const Traffic &traffic() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace sardineford::rpc
