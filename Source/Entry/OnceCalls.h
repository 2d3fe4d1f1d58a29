#pragma once

#include "Node/Node.h"
#include "Sardineford/Once/OnceRecord.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sardineford::entry {

/// What the backend server made of a call.
struct BackendResult {
  RunState Run = RunState::No;
  once::StoredResponse Answer;
  /// Why there is no answer.
  std::string Why;
};

/// How a call that must not repeat ended, for its caller.
struct OnceResult {
  enum class Kind { Answered, Replayed, NotRun, Unknown, KeyReused };

  /// What is known of earlier calls with the key, where this one was not run.
  enum class Earlier {
    /// There was none that ran.
    None,
    /// The store could not be asked.
    NotKnown,
    /// There was one, and what became of it is not known.
    Seen,
  };

  Kind What = Kind::NotRun;
  Earlier Before = Earlier::None;
  once::StoredResponse Answer;
  std::string Why;
};

/// Runs calls that must run at most once. A record under the idempotency key
/// is written before the first byte goes to a backend server; whoever finds
/// one asks its owner for the answer and never runs the call again.
class OnceCalls {
public:
  using Run = std::function<Awaitable<BackendResult>()>;

  OnceCalls(node::Node &node, once::OnceStore &store);

  /// Runs the call, or joins or replays one with the same key.
  Awaitable<OnceResult> call(std::string key, uint64_t requestHash, Run run,
                             MonoTime deadline);

private:
  /// A call that runs in this process, or ran lately.
  struct Running {
    explicit Running(IoContext &io) : Done(io, MonoTime::max()) {}

    uint64_t RequestHash = 0;
    bool Ended = false;
    OnceResult Result;
    boost::asio::steady_timer Done;
  };

  using RunningPtr = std::shared_ptr<Running>;

  Awaitable<OnceResult> own(std::string key, RunningPtr entry, Run run,
                            MonoTime deadline);
  Awaitable<OnceResult> recordAndRun(std::string key, uint64_t requestHash,
                                     Run run, MonoTime deadline);
  Awaitable<OnceResult> runRecorded(std::string key, once::OnceRecord record,
                                    uint64_t version, Run run);
  Awaitable<OnceResult> fromRecord(std::string key, once::VersionedRecord found,
                                   uint64_t requestHash, Run run,
                                   MonoTime deadline);
  Awaitable<OnceResult> askOwner(std::string key, once::OnceRecord record,
                                 MonoTime deadline);
  Awaitable<OnceResult> await(RunningPtr entry, MonoTime deadline);
  Awaitable<std::string> answerJoin(std::string body);
  void keepOutcome(std::string key, once::OnceRecord record, uint64_t version);
  once::OnceRecord makeRecord(uint64_t requestHash) const;

  node::Node &Node;
  once::OnceStore &Store;
  std::map<std::string, RunningPtr> Calls;
};

} // namespace sardineford::entry
