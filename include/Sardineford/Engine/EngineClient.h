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

/// A key-value cache that stands at an engine.
struct KvHandle {
  http::Endpoint Engine;
  std::string Handle;
};

/// One attempt at a request. The attempt id is new for each attempt, so that
/// late bytes of another one are never taken for it.
struct Attempt {
  std::string Request;
  std::string Id;
  std::string Model;
  std::string Prompt;
  uint64_t MaxTokens = 0;
  /// Tokens that the caller has already.
  uint64_t Delivered = 0;
  int Priority = 0;
  std::optional<KvHandle> From;
};

/// One generated token and its index in the whole answer.
struct Token {
  uint64_t Index = 0;
  std::string Text;
};

/// Tokens that arrived together.
struct TokenBatch {
  std::vector<Token> Tokens;
  /// The answer is complete and has this many tokens.
  std::optional<uint64_t> Total;
};

/// Tokens of one attempt as they arrive.
class TokenStream {
public:
  virtual ~TokenStream() = default;

  /// Waits for more. Throws EngineError.
  virtual Awaitable<TokenBatch> read(Milliseconds timeout) = 0;
  /// Closes the connection; a pending read fails.
  virtual void close() = 0;
};

/// What an engine reports of itself; the figures lag.
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
  /// Only raises the engine's fencing number.
  Fence,
  /// Changes the engine's role.
  Role,
};

struct EngineOrder {
  std::string Id;
  uint64_t Epoch = 0;
  OrderKind Kind = OrderKind::Role;
  routing::EngineRole Role = routing::EngineRole::Mixed;
};

enum class OrderOutcome { Done, StaleFencingNumber, Busy };

/// Why a call to an engine failed.
enum class EngineFailure {
  /// The engine or the network refused it before it ran.
  NotExecuted,
  /// The engine says that it takes no new work.
  Leaving,
  /// No such stream, for a resume.
  StreamNotFound,
  /// It may have run; the connection failed or fell silent.
  MayHaveExecuted,
};

class EngineError : public Error {
public:
  EngineError(EngineFailure failure, const std::string &message)
      : Error(ErrorKind::BackendFailed, message,
              "the request is tried at another engine"),
        Failure(failure) {}

  EngineFailure Failure;
};

/// Calls to model engines. Every call may throw EngineError.
class EngineClient {
public:
  virtual ~EngineClient() = default;

  virtual Awaitable<std::unique_ptr<TokenStream>>
  generate(http::Endpoint at, Attempt attempt, Milliseconds timeout) = 0;
  /// Goes on with an attempt that runs at the engine, on a new connection.
  virtual Awaitable<std::unique_ptr<TokenStream>>
  resume(http::Endpoint at, std::string attempt, uint64_t offset,
         Milliseconds timeout) = 0;
  virtual Awaitable<KvHandle> prefill(http::Endpoint at, Attempt attempt,
                                      Milliseconds timeout) = 0;
  /// Stops a running attempt and keeps its key-value cache for a move.
  virtual Awaitable<KvHandle> exportStream(http::Endpoint at,
                                           std::string attempt,
                                           Milliseconds timeout) = 0;
  virtual Awaitable<void> cancel(http::Endpoint at, std::string attempt) = 0;
  virtual Awaitable<LoadReport> load(http::Endpoint at,
                                     Milliseconds timeout) = 0;
  /// Gives an order on a connection of its own. The gate is asked when the
  /// connection stands, before the first byte is given to the socket; when it
  /// says no, nothing is sent and the call fails with NotRun.
  virtual Awaitable<OrderOutcome> order(http::Endpoint at, EngineOrder order,
                                        std::function<bool()> gate,
                                        Milliseconds timeout) = 0;
};

} // namespace sardineford::engine
