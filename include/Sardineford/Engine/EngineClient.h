#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Common/Error.h"
#include "Sardineford/Http/Message.h"
#include "Sardineford/Routing/View.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sardineford::engine {

/// Reference to a key-value cache held by an engine.
struct KvHandle {
  http::Endpoint Engine;
  std::string Handle;
};

/// One attempt of a request. Each attempt has a new id, so that late tokens of
/// an earlier attempt are not mistaken for tokens of this one.
struct Attempt {
  std::string RequestId;
  std::string Id;
  std::string Model;
  std::string Prompt;
  uint64_t MaxTokens = 0;
  /// Number of tokens already delivered to the caller.
  uint64_t Delivered = 0;
  int Priority = 0;
  /// Key-value cache that the engine fetches before decoding.
  std::optional<KvHandle> KvSource;
};

/// One generated token and its index in the complete response.
struct Token {
  uint64_t Index = 0;
  std::string Text;
};

/// Tokens received in one read.
struct TokenBatch {
  std::vector<Token> Tokens;
  /// Number of tokens of the complete response; set in its last batch.
  std::optional<uint64_t> TotalTokens;
};

/// The token stream of one attempt.
class TokenStream {
public:
  virtual ~TokenStream() = default;

  /// Waits for the next batch. Throws EngineError when the connection fails or
  /// nothing arrives within the timeout.
  virtual Awaitable<TokenBatch> read(Milliseconds timeout) = 0;
  /// Closes the connection; a pending read fails.
  virtual void close() = 0;
};

/// State and load as reported by an engine. The values can be stale.
struct LoadReport {
  std::string Incarnation;
  routing::EngineRole Role = routing::EngineRole::Mixed;
  routing::EngineState State = routing::EngineState::Serving;
  uint64_t QueuedPrefillTokens = 0;
  uint64_t Running = 0;
  uint64_t Waiting = 0;
  uint64_t UsedPieces = 0;
  uint64_t TotalPieces = 0;
  std::vector<std::string> EndedOrders;
  std::vector<uint64_t> Prefixes;
};

enum class OrderKind {
  /// Raises the fencing number of the engine and changes nothing else.
  Fence,
  /// Changes the role of the engine.
  Role,
};

struct EngineOrder {
  std::string Id;
  uint64_t Epoch = 0;
  OrderKind Kind = OrderKind::Role;
  routing::EngineRole Role = routing::EngineRole::Mixed;
};

enum class OrderOutcome { Done, StaleFencingNumber, Busy };

/// Cause of a failed call to an engine.
enum class EngineFailure {
  /// The network or the engine rejected the call before it was executed.
  NotExecuted,
  /// The engine is leaving and accepts no new work.
  Leaving,
  /// The engine has no stream with this attempt id.
  StreamNotFound,
  /// The connection failed or timed out, or the response is an error or
  /// invalid. The engine may have executed the call.
  MayHaveExecuted,
};

class EngineError : public Error {
public:
  EngineError(EngineFailure failure, const std::string &message)
      : Error(ErrorKind::BackendFailed, message,
              "the request is retried at another engine"),
        Failure(failure) {}

  EngineFailure Failure;
};

/// Calls to model engines. Every call may throw EngineError.
class EngineClient {
public:
  virtual ~EngineClient() = default;

  virtual Awaitable<std::unique_ptr<TokenStream>>
  generate(http::Endpoint endpoint, Attempt attempt, Milliseconds timeout) = 0;
  /// Opens a new connection to a running attempt and streams its tokens from
  /// the given index.
  virtual Awaitable<std::unique_ptr<TokenStream>>
  resume(http::Endpoint endpoint, std::string attemptId, uint64_t offset,
         Milliseconds timeout) = 0;
  /// Computes the key-value cache of the prompt for decoding at another engine.
  virtual Awaitable<KvHandle> prefill(http::Endpoint endpoint, Attempt attempt,
                                      Milliseconds timeout) = 0;
  /// Stops a running attempt and keeps its key-value cache, so that another
  /// engine can fetch it.
  virtual Awaitable<KvHandle> exportStream(http::Endpoint endpoint,
                                           std::string attemptId,
                                           Milliseconds timeout) = 0;
  virtual Awaitable<void> cancel(http::Endpoint endpoint,
                                 std::string attemptId) = 0;
  virtual Awaitable<LoadReport> load(http::Endpoint endpoint,
                                     Milliseconds timeout) = 0;
  /// Sends an order on a new connection. Calls beforeSend after the connection
  /// is established and before the first byte is written. If it returns false,
  /// nothing is sent and the call fails with NotExecuted.
  virtual Awaitable<OrderOutcome> order(http::Endpoint endpoint,
                                        EngineOrder order,
                                        std::function<bool()> beforeSend,
                                        Milliseconds timeout) = 0;
};

} // namespace sardineford::engine
