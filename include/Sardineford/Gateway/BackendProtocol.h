#pragma once

#include "Sardineford/Fleet/ServerLoad.h"
#include "Sardineford/Gateway/CallerRequest.h"
#include "Sardineford/Http/Message.h"

#include <memory>
#include <optional>
#include <string>

namespace sardineford::gateway {

/// Handle of a prompt's KV cache that an engine holds after prefill.
struct KvHandle {
  http::Endpoint Engine;
  std::string Name;
};

/// Options of one attempt at a backend server.
struct AttemptOptions {
  /// Id of the intended server; a different server at the same address rejects
  /// the request.
  std::string ServerId;
  Milliseconds RemainingTime{0};
  /// Priority of the request at an engine, 0 is the highest; empty to send
  /// none.
  std::optional<int> EnginePriority;
  /// Handle of the prompt if a prefill engine has prefilled it.
  std::optional<KvHandle> PrefilledPrompt;
  /// Id of the event after which the stream resumes.
  std::optional<uint64_t> ResumeAfter;
};

/// Properties of a backend server's response, decoded from its status and
/// headers.
struct ResponseHead {
  /// The server reports that it did not execute the request.
  bool NotExecuted = false;
  /// The request was intended for another server, phase or version.
  bool Misdirected = false;
  /// Id of the server that sent the response, if the response contains it.
  std::optional<std::string> RespondingServer;
  /// The response carries the signature of the server.
  bool Signed = false;
  /// The body has a content encoding, so it is not what the server produced.
  bool Encoded = false;
  bool IsEventStream = false;
  /// Empty if the response contains no request id.
  std::optional<std::string> RequestId;
  /// Requests a second that the server takes from all processes together; empty
  /// if it names no limit.
  std::optional<double> RequestLimit;
  /// Load that the server reports; empty if it reports none.
  std::optional<fleet::ServerLoad> Load;
  /// The server leaves and wants no further requests.
  bool Leaving = false;
  /// The server rejected the request and wants no further ones from this
  /// process for this time.
  std::optional<Milliseconds> RetryAfter;
};

/// Translates between the gateway and the protocols of callers and backend
/// servers.
class BackendProtocol {
public:
  virtual ~BackendProtocol() = default;

  /// Throws Error(BadRequest) if the request cannot be decoded.
  virtual CallerRequest decodeRequest(http::Request &&in) const = 0;
  /// Decodes a request that another process of this system has passed on.
  virtual CallerRequest decodePassedOnRequest(http::Request &&in) const = 0;
  /// Removes the headers with which callers prove or name their workspace. From
  /// then on `request.Workspace` alone tells it.
  virtual void removeCredentials(CallerRequest &request) const = 0;
  virtual http::Request
  makeAttemptRequest(const CallerRequest &request,
                     const AttemptOptions &options) const = 0;
  /// Returns the caller's request as another process of this system decodes it.
  virtual http::Request
  makePassedOnRequest(const CallerRequest &request, Milliseconds remainingTime,
                      uint64_t configurationVersion) const = 0;
  /// Requests a prefill of the prompt without decoding.
  virtual http::Request
  makePrefillRequest(const CallerRequest &request,
                     const AttemptOptions &options) const = 0;
  /// Requests a health check; the response shows whether the server is healthy
  /// and not leaving.
  virtual http::Request
  makeHealthCheckRequest(const std::string &path,
                         const std::string &serverId) const = 0;
  virtual http::Request
  makeFreeHandleRequest(const std::string &handle) const = 0;
  virtual ResponseHead decodeHead(const http::Response &response) const = 0;
  /// Returns nothing if the response contains no handle.
  virtual std::optional<KvHandle>
  decodeHandle(const http::Endpoint &engine, const std::string &body) const = 0;
  /// Returns the response without headers that concern only the connection to
  /// the backend server.
  virtual http::Response makeCallerResponse(http::Response response) const = 0;
  /// Makes an error response of the gateway itself, with a Retry-After header
  /// if `retryAfter` is set.
  virtual http::Response
  makeErrorResponse(unsigned status, const CallerRequest &request,
                    const std::string &detail,
                    std::optional<Milliseconds> retryAfter) const = 0;
  /// Path of the readiness check of the load balancer.
  virtual std::string readinessPath() const = 0;
};

} // namespace sardineford::gateway
