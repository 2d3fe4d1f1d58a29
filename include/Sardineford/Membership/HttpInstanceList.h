#pragma once

#include "Sardineford/Http/Client.h"
#include "Sardineford/Membership/InstanceList.h"

namespace sardineford::membership {

/// Reads the instance list over HTTP. No other code depends on the wire format
/// of the list.
class HttpInstanceList : public InstanceList {
public:
  HttpInstanceList(http::Client &client, http::Endpoint address)
      : Client(client), Address(std::move(address)) {}

  Awaitable<std::vector<Instance>> read() override;

private:
  http::Client &Client;
  http::Endpoint Address;
};

/// Encodes an instance in the wire format of the list.
std::string encodeInstance(const Instance &i);

} // namespace sardineford::membership
