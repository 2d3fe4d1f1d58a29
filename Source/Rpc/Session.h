#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Rpc/Rpc.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct nghttp2_session;
struct nghttp2_session_callbacks;

namespace sardineford::rpc {

/// One request and its reply on an HTTP/2 connection.
struct Stream {
  explicit Stream(IoContext &io) : Done(io, MonoTime::max()) {}

  std::string Path;
  std::string Received;
  std::string ToSend;
  size_t SentBytes = 0;
  unsigned Status = 0;
  bool Complete = false;
  bool Failed = false;
  /// Expires when the stream completes or fails.
  boost::asio::steady_timer Done;
};

using StreamPtr = std::shared_ptr<Stream>;

/// Drives one nghttp2 session over one TCP connection.
class Session : public std::enable_shared_from_this<Session> {
public:
  enum class Side { Client, Server };
  /// Called on the server side for each complete request.
  using OnRequest = std::function<void(std::shared_ptr<Session>, int32_t)>;

  Session(IoContext &io, boost::asio::ip::tcp::socket socket, Side side,
          OnRequest onRequest, Traffic &traffic);
  ~Session();

  void start();
  void close();
  bool open() const { return Open; }

  /// Client side: sends a request.
  StreamPtr request(const std::string &authority, std::string path,
                    std::string body);
  /// Server side: sends the reply to a request.
  void respond(int32_t id, unsigned status, std::string body);
  StreamPtr find(int32_t id) const;

private:
  Awaitable<void> readLoop();
  Awaitable<void> writeLoop();
  void flush();
  void finish(int32_t id, bool failed);
  static nghttp2_session_callbacks *callbacks();
  friend struct SessionCallbacks;

  IoContext &Io;
  boost::asio::ip::tcp::socket Socket;
  nghttp2_session *Native = nullptr;
  Side LocalSide;
  OnRequest HandleRequest;
  Traffic &TrafficCounters;
  std::map<int32_t, StreamPtr> Streams;
  bool Open = true;
  bool Writing = false;
};

} // namespace sardineford::rpc
