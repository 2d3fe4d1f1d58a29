#include "Sardineford/Gateway/ConnectionReuse.h"

namespace sardineford::gateway {

bool mayReuseConnection(const Exchange &e) {
  if (e.SentId.empty())
    return !e.ReceivedId && !e.IsRejection;
  return e.ReceivedId == e.SentId;
}

bool isOfOtherRequest(const Exchange &e) {
  return e.ReceivedId && *e.ReceivedId != e.SentId;
}

bool needsNewConnection(const AttemptSend &s) {
  return !s.MayRepeat || s.IdSentBefore;
}

} // namespace sardineford::gateway
