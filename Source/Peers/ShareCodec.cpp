#include "Peers/ShareCodec.h"

#include "Messages/Messages.pb.h"

#include <algorithm>

namespace sardineford::peers {

void encodeShare(const std::string &server, const fleet::WorkInFlight &work,
                 messages::ServerShare &out) {
  out.set_server(server);
  for (double it : work.Tokens)
    out.add_prompt_tokens(static_cast<uint32_t>(std::max(0.0, it)));
  out.set_requests(work.Requests);
}

fleet::WorkInFlight decodeShare(const messages::ServerShare &in) {
  fleet::WorkInFlight out;
  out.Requests = in.requests();
  for (int i = 0; i < in.prompt_tokens_size(); ++i)
    if (static_cast<size_t>(i) < fleet::NumWorkPriorities)
      out.Tokens[static_cast<size_t>(i)] = in.prompt_tokens(i);
  return out;
}

} // namespace sardineford::peers
