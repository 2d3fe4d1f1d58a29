#pragma once

#include <optional>
#include <string>

namespace sardineford::gateway {

/// An exchange with a backend server whose response is complete.
struct Exchange {
  /// Id of the request; empty for a call of this process.
  std::string SentId;
  /// Id in the response.
  std::optional<std::string> ReceivedId;
  /// The response says that the request was not executed.
  bool IsRejection = false;
};

/// Returns whether the connection may carry further exchanges. A server may
/// write a response once more, so a response that could be taken for that of a
/// later request ends its connection.
bool mayReuseConnection(const Exchange &e);

/// Returns whether the response belongs to another request than the one that
/// was sent. Relies on mayReuseConnection and needsNewConnection: nothing else
/// on the connection has the same id, or none.
bool isOfOtherRequest(const Exchange &e);

/// An attempt that is about to be sent.
struct AttemptSend {
  /// The request may be executed by several servers.
  bool MayRepeat = false;
  /// Its id has been sent to the server before, for example for a prefill.
  bool IdSentBefore = false;
};

/// Returns whether the attempt needs a connection of its own.
bool needsNewConnection(const AttemptSend &s);

} // namespace sardineford::gateway
