#pragma once

#include "Sardineford/Http/Server.h"
#include "Sardineford/Timeline/Recorder.h"

#include <map>

namespace sardineford::standins {

struct ServiceOptions {
  std::string Name;
  http::Endpoint Listen;
  Milliseconds WorkTime{20};
};

/// Stand-in for a plain service. Counts the executions of each idempotency key.
class Service {
public:
  Service(IoContext &io, ServiceOptions options, timeline::Recorder &recorder);

  void start() { Listener.start(); }

private:
  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);

  ServiceOptions Options;
  timeline::Recorder &Recorder;
  http::Server Listener;
  std::map<std::string, uint64_t> Executions;
  bool Leaving = false;
};

/// Returns the body of the stand-in's response to a request.
std::string serviceResponseBody(std::string_view method, std::string_view path,
                                std::string_view key, std::string_view body);

} // namespace sardineford::standins
