#include "StandIns/Service/Service.h"

#include "Sardineford/Common/Random.h"

#include <boost/json.hpp>

namespace sardineford::standins {

namespace json = boost::json;
using timeline::EventKind;

std::string serviceResponseBody(std::string_view method, std::string_view path,
                                std::string_view key, std::string_view body) {
  return json::serialize(json::object{{"method", method},
                                      {"path", path},
                                      {"key", key},
                                      {"receipt", hash64(body)}});
}

Service::Service(IoContext &io, ServiceOptions options,
                 timeline::Recorder &recorder)
    : Options(std::move(options)), Recorder(recorder),
      Listener(io, http::ServerOptions{.Listen = Options.Listen},
               [this](http::Request &request, http::ResponseWriter &out) {
                 return handle(request, out);
               }) {}

Awaitable<void> Service::handle(http::Request &request,
                                http::ResponseWriter &out) {
  std::string path(http::pathOf(request.Target));
  if (path == "/admin") {
    json::object body = json::parse(request.Body).as_object();
    if (const json::value *v = body.if_contains("leaving"))
      Leaving = v->as_bool();
    if (const json::value *v = body.if_contains("work_ms"))
      Options.WorkTime = Milliseconds(v->to_number<int64_t>());
    co_await out.send(http::jsonResponse(200, "{}"));
    co_return;
  }
  if (path == "/admin/runs") {
    json::object executions;
    for (const auto &[key, n] : Executions)
      executions[key] = n;
    co_await out.send(http::jsonResponse(200, json::serialize(executions)));
    co_return;
  }
  if (Leaving) {
    co_await out.send(http::jsonResponse(503, R"({"run":"no"})"));
    co_return;
  }
  std::string key = request.Fields.find("Idempotency-Key").value_or("");
  if (!key.empty())
    ++Executions[key];
  Recorder.record({.Kind = EventKind::ServiceRan,
                   .Request = request.Fields.find("X-Request-Id").value_or(""),
                   .Engine = Options.Name,
                   .Key = key});
  co_await sleepFor(Options.WorkTime);
  co_await out.send(http::jsonResponse(
      200, serviceResponseBody(request.Method, path, key, request.Body)));
}

} // namespace sardineford::standins
