#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Http/Message.h"

#include <functional>
#include <memory>
#include <utility>

namespace sardineford::http {

/// How far a failed call had come.
enum class TransportStage {
  /// No byte of the request was given to a socket.
  NothingSent,
  /// Bytes were given to a socket; the peer may have acted on them.
  Sent,
};

/// A call failed below HTTP.
class TransportError : public Error {
public:
  TransportError(TransportStage stage, bool timedOut,
                 const std::string &message)
      : Error(ErrorKind::BackendFailed, message,
              "check that the server runs and can be reached"),
        Stage(stage), TimedOut(timedOut) {}

  TransportStage Stage;
  bool TimedOut;
};

/// Lets the owner of a call end it from outside, also while it connects.
class AbortHandle {
public:
  /// Closes the connection of the call; later calls with the abort fail.
  void abort() {
    Aborted = true;
    if (Close)
      std::exchange(Close, nullptr)();
  }
  bool aborted() const { return Aborted; }

  /// Set by the client while a connection is open.
  std::function<void()> Close;

private:
  bool Aborted = false;
};

struct CallOptions {
  Milliseconds ConnectTimeout{500};
  /// Longest wait for the head of the answer.
  Milliseconds Timeout{5'000};
  /// Opens a connection of its own instead of using a kept one. Needed where
  /// the request must not be sent twice.
  bool FreshConnection = false;
  /// Sends the request again when a kept connection turns out closed. Off
  /// where the caller counts every send.
  bool ResendOnStale = true;
  /// Longest idle time of a kept connection that is used again.
  Milliseconds MaxIdleTime{30'000};
  std::shared_ptr<AbortHandle> Abort;
  /// Asked when the connection stands, right before the first byte is given
  /// to the socket. When it says no, nothing is sent and the call fails.
  std::function<bool()> BeforeSend;
};

/// The body of an answer as it arrives. Closing it closes the connection
/// unless the body was read to its end.
class ResponseStream {
public:
  virtual ~ResponseStream() = default;

  virtual const Response &head() const = 0;
  /// Returns the next piece of the body, or an empty string at its end.
  /// Throws TransportError when nothing arrives in time or the peer fails.
  virtual Awaitable<std::string> read(Milliseconds timeout) = 0;
  /// Closes the connection; a pending read fails.
  virtual void close() = 0;
};

/// An HTTP/1.1 client that keeps idle connections per endpoint. Runs on one
/// thread.
class Client {
public:
  /// Shared with the streams that it opened.
  struct Impl;

  explicit Client(IoContext &io);
  ~Client();

  /// Sends a request and reads the whole answer.
  Awaitable<Response> call(Endpoint to, Request request,
                           CallOptions options = {});
  /// Sends a request and returns after the head of the answer.
  Awaitable<std::unique_ptr<ResponseStream>> open(Endpoint to, Request request,
                                                  CallOptions options = {});

private:
  std::shared_ptr<Impl> Shared;
};

} // namespace sardineford::http
