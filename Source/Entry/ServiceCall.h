#pragma once

#include "Entry/OnceCalls.h"
#include "Node/Node.h"
#include "Sardineford/Config/Objects.h"
#include "Sardineford/Retry/Retry.h"

#include <map>
#include <optional>
#include <string>

namespace sardineford::entry {

/// Forwards calls to services that are not models.
class ServiceCalls {
public:
  ServiceCalls(node::Node &node, OnceCalls &once);

  /// Handles one call of /services/NAME/...
  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out,
                         const std::string &workspace,
                         const std::string &requestId, MonoTime deadline);

private:
  /// Destination of a call.
  struct Target {
    std::string Service;
    std::string Path;
    std::string Instance;
    http::Endpoint Address;
  };

  std::optional<Target> pickInstance(const std::string &service,
                                     const std::vector<std::string> &excluded);
  Awaitable<BackendResult> forward(http::Request request, Target target,
                                   Milliseconds timeout, bool atMostOnce);
  Awaitable<BackendResult>
  forwardWithRetries(http::Request request, std::string service,
                     std::string path, MonoTime deadline, bool atMostOnce);
  Awaitable<void> sendOnceResult(OnceResult r, bool isFirstAttempt,
                                 http::ResponseWriter &out);
  Awaitable<void> sendResult(BackendResult r, http::ResponseWriter &out);

  node::Node &Node;
  OnceCalls &Once;
  std::map<std::string, retry::Budget> Budgets;
  std::map<std::string, uint64_t> InFlight;
  retry::Ejector Ejections;
};

/// Returns whether a rule of the service requires that the call runs at most
/// once.
bool mustNotRepeat(const config::ServiceSpec &spec, const std::string &method,
                   const std::string &path);

} // namespace sardineford::entry
