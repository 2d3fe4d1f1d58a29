#include "Sardineford/Http/Message.h"

#include "Sardineford/Common/Numbers.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>

namespace sardineford::http {

Endpoint parseEndpoint(std::string_view text) {
  size_t colon = text.rfind(':');
  std::optional<uint16_t> port;
  if (colon != std::string_view::npos && colon > 0)
    port = parseNumber<uint16_t>(text.substr(colon + 1));
  if (!port || *port == 0)
    throw Error(ErrorKind::BadSettings,
                "'" + std::string(text) + "' is not an IP address and port",
                "use an IP address and a port, such as 127.0.0.1:8080");
  return {std::string(text.substr(0, colon)), *port};
}

std::string toString(const Endpoint &e) {
  return e.Host + ":" + std::to_string(e.Port);
}

std::optional<std::string> Headers::find(std::string_view name) const {
  for (const Header &it : Fields)
    if (boost::algorithm::iequals(it.Name, name))
      return it.Value;
  return std::nullopt;
}

void Headers::add(std::string name, std::string value) {
  Fields.push_back({std::move(name), std::move(value)});
}

std::string_view pathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::optional<std::string> queryOf(std::string_view target,
                                   std::string_view name) {
  size_t start = target.find('?');
  while (start != std::string_view::npos) {
    std::string_view rest = target.substr(start + 1);
    std::string_view pair = rest.substr(0, rest.find('&'));
    size_t eq = pair.find('=');
    if (pair.substr(0, eq) == name)
      return std::string(eq == std::string_view::npos ? ""
                                                      : pair.substr(eq + 1));
    start = target.find('&', start + 1);
  }
  return std::nullopt;
}

Response jsonResponse(unsigned status, std::string body) {
  Response r;
  r.Status = status;
  r.Fields.add("Content-Type", "application/json");
  r.Body = std::move(body);
  return r;
}

Response problem(unsigned status, const Error &e, Executed run,
                 std::optional<Milliseconds> retryAfter) {
  boost::json::object body = {
      {"type", toString(e.Kind)}, {"title", toString(e.Kind)},
      {"status", status},         {"detail", e.what()},
      {"remedy", e.Remedy},       {"run", toString(run)}};
  Response r;
  r.Status = status;
  r.Fields.add("Content-Type", "application/problem+json");
  if (retryAfter) {
    // Retry-After has a resolution of one second; the body has the exact time.
    int64_t seconds = (retryAfter->count() + 999) / 1000;
    r.Fields.add("Retry-After", std::to_string(seconds));
    body["retry_after_ms"] = retryAfter->count();
  }
  r.Body = boost::json::serialize(body);
  return r;
}

} // namespace sardineford::http
