#include "Sardineford/Gateway/CallerRequest.h"

#include "Sardineford/Common/Random.h"

namespace sardineford::gateway {

uint64_t hashOfRepeats(const CallerRequest &request) {
  uint64_t out = hash64(request.Method);
  out = hash64(request.Host, out);
  out = hash64(request.Target, out);
  out =
      hash64(request.ForwardedHeaders.find("Authorization").value_or(""), out);
  // Without a workspace, older builds compute the same hash.
  if (!request.Workspace.empty())
    out = hash64(request.Workspace, out);
  return hash64(request.Body, out);
}

void separateParts(CallerRequest &request) {
  if (request.Workspace.empty())
    return;
  uint64_t seed = hash64(request.Workspace);
  for (size_t i = 1; i < request.Parts.size(); ++i)
    request.Parts[i].Id = hash64(std::to_string(request.Parts[i].Id), seed);
}

} // namespace sardineford::gateway
