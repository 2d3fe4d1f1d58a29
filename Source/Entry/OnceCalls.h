#pragma once

#include "Node/Node.h"
#include "Sardineford/Once/OnceRecord.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sardineford::entry {

/// Result of a request at backend servers.
struct BackendResult {
  /// Whether a backend server executed the request.
  Executed Run = Executed::No;
  once::StoredResponse Response;
  /// Reason why there is no response.
  std::string Reason;
};

/// Result of a request that must run at most once.
struct OnceResult {
  enum class Kind { Executed, Replayed, NotExecuted, Unknown, KeyReused };

  /// Knowledge about earlier calls with the same key when this call was not
  /// executed.
  enum class PriorCalls {
    /// No earlier call was executed.
    None,
    /// The store was not available.
    NotKnown,
    /// There was an earlier call, whose outcome is not known.
    Found,
  };

  Kind Outcome = Kind::NotExecuted;
  PriorCalls Prior = PriorCalls::None;
  once::StoredResponse Response;
  std::string Reason;
};

/// Executes requests that must run at most once. A record under the idempotency
/// key is written before the first byte is sent to a backend server. A process
/// that finds an existing record queries its owner for the response. It
/// executes the request only if the record or the owner shows that it was not
/// executed.
class OnceCalls {
public:
  using Operation = std::function<Awaitable<BackendResult>()>;

  OnceCalls(node::Node &node, once::OnceStore &store);

  /// Executes the operation, or waits for a call with the same key and returns
  /// its response.
  Awaitable<OnceResult> call(std::string key, uint64_t requestHash,
                             Operation operation, MonoTime deadline);

private:
  /// A running or recently finished call of this process.
  struct LocalCall {
    explicit LocalCall(IoContext &io) : Done(io, MonoTime::max()) {}

    uint64_t RequestHash = 0;
    bool Finished = false;
    OnceResult Result;
    boost::asio::steady_timer Done;
  };

  using LocalCallPtr = std::shared_ptr<LocalCall>;

  Awaitable<OnceResult> executeAndPublish(std::string key,
                                          LocalCallPtr localCall,
                                          Operation operation,
                                          MonoTime deadline);
  Awaitable<OnceResult> recordAndExecute(std::string key, uint64_t requestHash,
                                         Operation operation,
                                         MonoTime deadline);
  Awaitable<OnceResult> executeRecorded(std::string key,
                                        once::OnceRecord record,
                                        uint64_t version, Operation operation);
  Awaitable<OnceResult> handleExistingRecord(std::string key,
                                             once::VersionedRecord found,
                                             uint64_t requestHash,
                                             Operation operation,
                                             MonoTime deadline);
  Awaitable<OnceResult> queryOwner(std::string key, once::OnceRecord record,
                                   MonoTime deadline);
  Awaitable<OnceResult> waitForResult(LocalCallPtr localCall,
                                      MonoTime deadline);
  Awaitable<std::string> handleJoin(std::string body);
  void storeOutcome(std::string key, once::OnceRecord record, uint64_t version);
  once::OnceRecord makeRecord(uint64_t requestHash) const;

  node::Node &Node;
  once::OnceStore &Store;
  std::map<std::string, LocalCallPtr> Calls;
};

} // namespace sardineford::entry
