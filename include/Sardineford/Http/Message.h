#pragma once

#include "Sardineford/Common/Error.h"
#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardineford::http {

/// IP address and port of a server.
struct Endpoint {
  std::string Host;
  uint16_t Port = 0;

  bool operator==(const Endpoint &) const = default;
  auto operator<=>(const Endpoint &) const = default;
};

/// Parses text of the form "127.0.0.1:8080". Throws Error(BadSettings) when the
/// port is missing or out of range.
Endpoint parseEndpoint(std::string_view text);

/// Formats an endpoint as "host:port".
std::string toString(const Endpoint &e);

struct Header {
  std::string Name;
  std::string Value;
};

/// Header list with case-insensitive lookup.
struct Headers {
  std::vector<Header> Fields;

  std::optional<std::string> find(std::string_view name) const;
  void add(std::string name, std::string value);
};

struct Request {
  std::string Method = "GET";
  std::string Target = "/";
  Headers Fields;
  std::string Body;
};

struct Response {
  unsigned Status = 200;
  Headers Fields;
  std::string Body;
};

/// Returns the path of a request target without its query.
std::string_view pathOf(std::string_view target);

/// Returns the value of a query parameter without percent-decoding.
std::optional<std::string> queryOf(std::string_view target,
                                   std::string_view name);

Response jsonResponse(unsigned status, std::string body);

/// Builds an application/problem+json response with the members type, title,
/// status, detail, remedy and run. When retryAfter is given, the response also
/// has a Retry-After header and the member retry_after_ms.
Response problem(unsigned status, const Error &e, Executed run,
                 std::optional<Milliseconds> retryAfter = std::nullopt);

} // namespace sardineford::http
