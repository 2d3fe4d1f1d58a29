#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Duties/Lease.h"
#include "Sardineford/Duties/Usage.h"

#include <functional>
#include <string>
#include <string_view>

namespace sardineford::duties {

/// Outcome of a call to the platform.
enum class CallResult {
  Done,
  /// The platform has seen a higher token.
  Fenced,
  RateLimited,
  /// The platform answered with another status.
  Failed,
  /// The call was not sent.
  NotSent,
  /// The call was sent, and may be executed later.
  NoAnswer,
};

std::string_view toString(CallResult r);

/// A report of usage.
struct UsageCall {
  std::string Holder;
  uint64_t Token = 0;
  std::string Body;
  /// Limit of the whole call.
  Milliseconds Timeout{0};
  /// Called right before the first byte is sent. If it returns false, nothing
  /// is sent.
  std::function<bool()> BeforeSend;
};

/// An order for servers of a service in a failure domain.
struct OrderCall {
  std::string Holder;
  uint64_t Token = 0;
  PlacedOrder Order;
  /// Limit of the whole call.
  Milliseconds Timeout{0};
  /// As in UsageCall.
  std::function<bool()> BeforeSend;
};

/// The platform's interface for calls that only one process may make.
class DutyApi {
public:
  virtual ~DutyApi() = default;

  /// Returns the text of a report.
  virtual std::string encodeUsage(int64_t window,
                                  const Counts &counts) const = 0;
  /// Sends a report. Does not throw for failures of the call.
  virtual Awaitable<CallResult> reportUsage(UsageCall call) = 0;
  /// Sends an order. `Fenced` may also mean that no servers are available now.
  virtual Awaitable<CallResult> orderServers(OrderCall call) = 0;
};

} // namespace sardineford::duties
