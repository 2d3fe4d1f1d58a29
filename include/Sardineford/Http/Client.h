#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Http/Message.h"
#include "Sardineford/Http/ReceiveMemory.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sardineford::http {

/// Stage at which a call failed.
enum class TransportStage {
  /// No byte of the request was written to a socket.
  NothingSent,
  /// Bytes were written to a socket; the peer may have processed them.
  Sent,
};

/// Failure of a call without a complete HTTP response.
class TransportError : public Error {
public:
  TransportError(TransportStage stage, bool timedOut,
                 const std::string &message, bool refused = false)
      : Error(ErrorKind::BackendFailed, message,
              "check that the server is running and reachable"),
        Stage(stage), TimedOut(timedOut), Refused(refused) {}

  TransportStage Stage;
  bool TimedOut;
  /// Nothing listens at the address.
  bool Refused;
  /// The peer has reset a connection that was just opened, without a response.
  bool ResetOnNew = false;
  /// The peer has sent bytes that are no valid response.
  bool Malformed = false;
  /// No connection was opened, since the endpoint has as many as it may have.
  bool AtLimit = false;
};

/// Idle connections that are kept per endpoint without a limit.
inline constexpr size_t MaxIdlePerEndpoint = 64;

/// Connections that a client may have to one endpoint.
struct ConnectionLimit {
  /// Open ones, in use and idle.
  size_t Open = SIZE_MAX;
  size_t Idle = MaxIdlePerEndpoint;
  /// Connections that have been idle for longer are closed.
  Milliseconds MaxIdleTime = Milliseconds::max();
};

struct ConnectionCounts {
  /// In use, idle or being opened.
  size_t Open = 0;
  size_t Idle = 0;
};

/// Aborts a call from another coroutine, also while the call is connecting.
class AbortHandle {
public:
  /// Closes the connection of the call. Later calls with this handle fail.
  void abort() {
    Aborted = true;
    if (Close)
      std::exchange(Close, nullptr)();
  }
  bool aborted() const { return Aborted; }

  /// Closes the connection. Set by the client while a connection is open.
  std::function<void()> Close;

private:
  bool Aborted = false;
};

struct CallOptions {
  Milliseconds ConnectTimeout{500};
  /// Time limit for sending the request and receiving the response head.
  Milliseconds Timeout{5'000};
  /// Opens a new connection instead of reusing an idle one. Required for
  /// requests that must not be sent twice.
  bool FreshConnection = false;
  /// Sends the request again when a reused connection was already closed by
  /// the peer. Disabled by users that count every attempt.
  bool ResendOnStale = true;
  /// Connections that have been idle for longer are not reused.
  Milliseconds MaxIdleTime{30'000};
  /// Closes the connection with a reset, so that bytes which the peer has not
  /// received are dropped.
  bool ResetOnClose = false;
  std::shared_ptr<AbortHandle> Abort;
  /// Called after the connection is established and right before the first
  /// byte is written. If it returns false, nothing is sent and the call fails.
  std::function<bool()> BeforeSend;
};

/// A response that is received incrementally. The destructor closes the
/// connection unless the body was read to its end.
class ResponseStream {
public:
  virtual ~ResponseStream() = default;

  /// Returns whether the head, the next part of the body, its end or an error
  /// can be received without waiting.
  virtual bool isReady() = 0;
  /// Calls the function, at most once, when isReady may have become true.
  virtual void notifyReady(std::function<void()> f) = 0;
  /// Receives the head. Throws TransportError when the timeout passes or the
  /// connection fails.
  virtual Awaitable<void> receiveHead(Milliseconds timeout) = 0;
  /// The head; empty until it is received.
  virtual const Response &head() const = 0;
  /// Returns the next part of the body, or an empty string at its end. Throws
  /// TransportError when the timeout passes or the connection fails.
  virtual Awaitable<std::string> read(Milliseconds timeout) = 0;
  /// Closes the connection. A pending read fails.
  virtual void close() = 0;
  /// The same; the reads fail with the reason.
  virtual void giveUp(std::string reason) = 0;
};

/// Timeout of an operation on a response that is ready.
inline constexpr Milliseconds ReadyTimeout{1};

/// Waits until one of the responses is ready. Returns nullptr if none is within
/// the time; all of them can still be received later. Without time left, a
/// response that keeps arriving is not waited for.
Awaitable<ResponseStream *>
waitForAny(const std::vector<ResponseStream *> &responses,
           Milliseconds timeout);

/// Longest body that is collected, in bytes. Streams are not limited.
inline constexpr size_t MaxBodyBytes = size_t{8} * 1024 * 1024;
/// Limit of the parts of responses that a client holds, in bytes.
inline constexpr size_t MaxReceiveMemory = size_t{16} * 1024 * 1024;

/// Collects the body of a response that is needed as a whole.
class BodyCollector {
public:
  BodyCollector(ReceiveMemory &memory, ResponseStream &response);

  /// Gives the response up if its body exceeds MaxBodyBytes: the next read
  /// fails.
  void append(std::string_view part);
  /// Returns the body and frees its memory.
  std::string take();

private:
  ResponseStream &Response;
  std::string Body;
  MemoryShare Share;
};

/// Reads the rest of a body. Throws TransportError when the deadline passes,
/// the connection fails or the body is too long.
Awaitable<std::string> readBody(ResponseStream &response, ReceiveMemory &memory,
                                MonoTime deadline);

/// An HTTP/1.1 client that keeps idle connections per endpoint. Runs on one
/// thread.
class Client {
public:
  /// Shared with the open response streams.
  struct Impl;

  explicit Client(IoContext &io);
  ~Client();

  /// Sends a request and reads the complete response.
  Awaitable<Response> call(Endpoint to, Request request,
                           CallOptions options = {});
  /// Connects, begins to send a request and returns before the response is
  /// received. The request is never sent again on another connection.
  Awaitable<std::unique_ptr<ResponseStream>> send(Endpoint to, Request request,
                                                  CallOptions options);
  /// Memory for the parts of all responses that cannot be used yet.
  ReceiveMemory &receiveMemory();
  /// Closes the idle connections to an endpoint, which may be dead as well when
  /// one of them is.
  void closeIdle(const Endpoint &to);
  /// Limits the connections to an endpoint. Idle ones beyond the limit are
  /// closed; a new connection takes the place of an idle one.
  void setLimit(const Endpoint &to, const ConnectionLimit &limit);
  ConnectionCounts connections(const Endpoint &to) const;
  /// Sends a request and returns when the response head is received.
  Awaitable<std::unique_ptr<ResponseStream>> open(Endpoint to, Request request,
                                                  CallOptions options = {});

private:
  std::shared_ptr<Impl> Shared;
};

} // namespace sardineford::http
