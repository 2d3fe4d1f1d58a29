#pragma once

#include "Entry/OnceCalls.h"
#include "Node/Node.h"
#include "Sardineford/Config/Objects.h"
#include "Sardineford/Retry/Retry.h"

#include <map>
#include <optional>
#include <string>

namespace sardineford::entry {

/// Passes calls on to plain services.
class ServiceCalls {
public:
  ServiceCalls(node::Node &node, OnceCalls &once);

  /// Answers one call of /services/NAME/...
  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out,
                         const std::string &workspace,
                         const std::string &requestId, MonoTime deadline);

private:
  /// Where a call goes.
  struct Target {
    std::string Service;
    std::string Path;
    std::string Instance;
    http::Endpoint Address;
  };

  std::optional<Target> pick(const std::string &service,
                             const std::vector<std::string> &without);
  Awaitable<BackendResult> forward(http::Request request, Target target,
                                   Milliseconds timeout, bool once);
  Awaitable<BackendResult> forwardWithRetries(http::Request request,
                                              std::string service,
                                              std::string path,
                                              MonoTime deadline, bool once);
  Awaitable<void> answerOnce(OnceResult r, bool isFirst,
                             http::ResponseWriter &out);
  Awaitable<void> answerPlain(BackendResult r, http::ResponseWriter &out);

  node::Node &Node;
  OnceCalls &Once;
  std::map<std::string, retry::Budget> Budgets;
  std::map<std::string, uint64_t> InFlight;
  retry::Ejector Ejections;
};

/// The rule that a call must not repeat, if one covers it.
bool mustNotRepeat(const config::ServiceSpec &spec, const std::string &method,
                   const std::string &path);

} // namespace sardineford::entry
