#pragma once

#include "Sardineford/Http/Client.h"
#include "Sardineford/Membership/InstanceList.h"

namespace sardineford::membership {

/// The list over HTTP. The only place that knows its wire format.
class HttpInstanceList : public InstanceList {
public:
  HttpInstanceList(http::Client &client, http::Endpoint at)
      : Client(client), At(std::move(at)) {}

  Awaitable<std::vector<Instance>> read() override;

private:
  http::Client &Client;
  http::Endpoint At;
};

/// Writes an instance in the list's wire format.
std::string encodeInstance(const Instance &i);

} // namespace sardineford::membership
