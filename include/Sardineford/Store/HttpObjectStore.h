#pragma once

#include "Sardineford/Http/Client.h"
#include "Sardineford/Store/ObjectStore.h"

namespace sardineford::store {

/// The object API over HTTP. Only this class depends on the wire format.
class HttpObjectStore : public ObjectStore {
public:
  HttpObjectStore(http::Client &client, http::Endpoint endpoint,
                  Milliseconds timeout);

  Awaitable<std::optional<Object>> get(std::string kind,
                                       std::string name) override;
  Awaitable<ObjectList> list(std::string kind) override;
  Awaitable<uint64_t> put(std::string kind, std::string name, std::string value,
                          uint64_t expected) override;
  Awaitable<void> remove(std::string kind, std::string name,
                         uint64_t expected) override;
  Awaitable<Changes> watch(std::string kind, uint64_t after,
                           Milliseconds wait) override;

private:
  Awaitable<http::Response> call(std::string method, std::string target,
                                 std::string body, Milliseconds timeout);

  http::Client &Client;
  http::Endpoint Endpoint;
  Milliseconds Timeout;
};

} // namespace sardineford::store
