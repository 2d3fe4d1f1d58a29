#pragma once

#include "Sardineford/Common/Error.h"
#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardineford::http {

/// Address of a server: an IP number and a port.
struct Endpoint {
  std::string Host;
  uint16_t Port = 0;

  bool operator==(const Endpoint &) const = default;
  auto operator<=>(const Endpoint &) const = default;
};

/// Parses "127.0.0.1:8080". Throws Error(BadSettings) on anything else.
Endpoint parseEndpoint(std::string_view text);

/// Writes an endpoint as "host:port".
std::string toString(const Endpoint &e);

struct Header {
  std::string Name;
  std::string Value;
};

/// Header list with lookup that ignores case.
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

/// Path of a target without its query.
std::string_view pathOf(std::string_view target);

/// Value of a query parameter, without decoding.
std::optional<std::string> queryOf(std::string_view target,
                                   std::string_view name);

/// Builds a JSON response.
Response jsonResponse(unsigned status, std::string body);

/// Builds an application/problem+json answer. It has the members type, title,
/// detail, remedy and run, and a Retry-After header when a time is given.
Response problem(unsigned status, const Error &e, RunState run,
                 std::optional<Milliseconds> retryAfter = std::nullopt);

} // namespace sardineford::http
