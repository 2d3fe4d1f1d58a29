#pragma once

#include "Sardineford/Gateway/CallerRequest.h"
#include "Sardineford/Http/Message.h"

#include <memory>
#include <optional>
#include <string>

namespace sardineford::gateway {

/// A prefilled prompt that stands at an engine.
struct KvHandle {
  http::Endpoint Engine;
  std::string Name;
};

/// How a request is sent to one backend server.
struct AttemptOptions {
  /// The server that is meant; another one at the address turns it away.
  std::string ServerId;
  Milliseconds RemainingTime{0};
  /// Rank at an engine, 0 goes first; empty for none.
  std::optional<int> EnginePriority;
  std::optional<KvHandle> PrefilledPrompt;
  std::optional<uint64_t> ResumeAfter;
};

/// What the head of an answer says.
struct ResponseHead {
  /// The server says that it did not run the request.
  bool NotExecuted = false;
  /// The request was meant for another server, phase or version.
  bool Misdirected = false;
  /// Id of the server that answers, where it says so.
  std::optional<std::string> RespondingServer;
  /// Carries the server's signature.
  bool Signed = false;
  /// The body is not the server's own bytes.
  bool Encoded = false;
  bool IsEventStream = false;
  /// Empty when the answer names no request.
  std::optional<std::string> RequestId;
};

/// Translates between this slice and what callers and backend servers speak.
class BackendProtocol {
public:
  virtual ~BackendProtocol() = default;

  /// Throws Error(BadRequest) when the request cannot be decoded.
  virtual CallerRequest decodeRequest(http::Request &&in) const = 0;
  virtual http::Request makeAttemptRequest(const CallerRequest &r,
                                           const AttemptOptions &o) const = 0;
  /// Has the prompt prefilled, without a run.
  virtual http::Request makePrefillRequest(const CallerRequest &r,
                                           const AttemptOptions &o) const = 0;
  /// Asks a server whether it is sound and does not leave.
  virtual http::Request
  makeHealthCheckRequest(const std::string &path,
                         const std::string &serverId) const = 0;
  virtual http::Request
  makeFreeHandleRequest(const std::string &handle) const = 0;
  virtual ResponseHead decodeHead(const http::Response &r) const = 0;
  /// Empty when the answer holds no handle.
  virtual std::optional<KvHandle>
  decodeHandle(const http::Endpoint &engine, const std::string &body) const = 0;
  /// The answer as the caller gets it: without what concerns one connection.
  virtual http::Response makeCallerResponse(http::Response r) const = 0;
  /// A failure of the system's own. The time to come back is told if given.
  virtual http::Response
  makeErrorResponse(unsigned status, const CallerRequest &r,
                    const std::string &detail,
                    std::optional<Milliseconds> retryAfter) const = 0;
  /// Path of the balancer's question whether the process is ready.
  virtual std::string readinessPath() const = 0;
};

} // namespace sardineford::gateway
