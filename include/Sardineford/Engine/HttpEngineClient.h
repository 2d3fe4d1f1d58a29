#pragma once

#include "Sardineford/Engine/EngineClient.h"
#include "Sardineford/Http/Client.h"

namespace sardineford::engine {

/// Calls engines over HTTP. The wire format of engines is defined here only.
class HttpEngineClient : public EngineClient {
public:
  HttpEngineClient(IoContext &io, http::Client &client)
      : Io(io), Client(client) {}

  Awaitable<std::unique_ptr<TokenStream>>
  generate(http::Endpoint endpoint, Attempt attempt,
           Milliseconds timeout) override;
  Awaitable<std::unique_ptr<TokenStream>> resume(http::Endpoint endpoint,
                                                 std::string attemptId,
                                                 uint64_t offset,
                                                 Milliseconds timeout) override;
  Awaitable<KvHandle> prefill(http::Endpoint endpoint, Attempt attempt,
                              Milliseconds timeout) override;
  Awaitable<KvHandle> exportStream(http::Endpoint endpoint,
                                   std::string attemptId,
                                   Milliseconds timeout) override;
  Awaitable<void> cancel(http::Endpoint endpoint,
                         std::string attemptId) override;
  Awaitable<LoadReport> load(http::Endpoint endpoint,
                             Milliseconds timeout) override;
  Awaitable<OrderOutcome> order(http::Endpoint endpoint, EngineOrder order,
                                std::function<bool()> beforeSend,
                                Milliseconds timeout) override;

private:
  Awaitable<http::Response> call(http::Endpoint endpoint, std::string path,
                                 std::string body, http::CallOptions options);

  IoContext &Io;
  http::Client &Client;
};

} // namespace sardineford::engine
