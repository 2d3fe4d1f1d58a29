#pragma once

#include "Sardineford/Engine/EngineClient.h"
#include "Sardineford/Http/Client.h"

namespace sardineford::engine {

/// Engines over HTTP. The only place that knows their wire format.
class HttpEngineClient : public EngineClient {
public:
  HttpEngineClient(IoContext &io, http::Client &client)
      : Io(io), Client(client) {}

  Awaitable<std::unique_ptr<TokenStream>>
  generate(http::Endpoint at, Attempt attempt, Milliseconds timeout) override;
  Awaitable<std::unique_ptr<TokenStream>> resume(http::Endpoint at,
                                                 std::string attempt,
                                                 uint64_t offset,
                                                 Milliseconds timeout) override;
  Awaitable<KvHandle> prefill(http::Endpoint at, Attempt attempt,
                              Milliseconds timeout) override;
  Awaitable<KvHandle> exportStream(http::Endpoint at, std::string attempt,
                                   Milliseconds timeout) override;
  Awaitable<void> cancel(http::Endpoint at, std::string attempt) override;
  Awaitable<LoadReport> load(http::Endpoint at, Milliseconds timeout) override;
  Awaitable<OrderOutcome> order(http::Endpoint at, EngineOrder order,
                                std::function<bool()> gate,
                                Milliseconds timeout) override;

private:
  Awaitable<http::Response> call(http::Endpoint at, std::string path,
                                 std::string body, http::CallOptions options);

  IoContext &Io;
  http::Client &Client;
};

} // namespace sardineford::engine
