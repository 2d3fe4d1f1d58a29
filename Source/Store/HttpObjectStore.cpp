#include "Sardineford/Store/HttpObjectStore.h"

#include "Sardineford/Http/Status.h"
#include "Sardineford/Store/StoreCall.h"

#include <boost/json.hpp>

namespace sardineford::store {

namespace json = boost::json;

namespace {

/// Added to the wait time of a watch to get the timeout of its HTTP request,
/// since the store responds only after the wait time.
constexpr Milliseconds WatchTimeoutMargin{2'000};

std::string objectPath(const std::string &kind, const std::string &name) {
  return "/objects/" + kind + "/" + name;
}

Object parseObject(const json::object &object) {
  Object out;
  out.Kind = json::value_to<std::string>(object.at("kind"));
  out.Name = json::value_to<std::string>(object.at("name"));
  out.Version = object.at("version").to_number<uint64_t>();
  out.Value = json::value_to<std::string>(object.at("value"));
  return out;
}

template <class T> T parseList(const std::string &body) {
  json::value root = json::parse(body);
  T out;
  out.Revision = root.at("revision").to_number<uint64_t>();
  for (const json::value &it : root.at("objects").as_array())
    out.Objects.push_back(parseObject(it.as_object()));
  return out;
}

} // namespace

HttpObjectStore::HttpObjectStore(http::Client &client, http::Endpoint endpoint,
                                 Milliseconds timeout)
    : Client(client), Endpoint(std::move(endpoint)), Timeout(timeout) {}

Awaitable<http::Response> HttpObjectStore::call(std::string method,
                                                std::string target,
                                                std::string body,
                                                Milliseconds timeout) {
  http::Request request;
  request.Method = std::move(method);
  request.Target = std::move(target);
  request.Body = std::move(body);
  http::CallOptions options;
  options.Timeout = timeout;
  co_return co_await callStore(Client, Endpoint, std::move(request),
                               std::move(options), Counts);
}

Awaitable<std::optional<Object>> HttpObjectStore::get(std::string kind,
                                                      std::string name) {
  ++Counts.Gets;
  http::Response response =
      co_await call("GET", objectPath(kind, name), "", Timeout);
  if (response.Status == http::StatusNotFound)
    co_return std::nullopt;
  co_return parseObject(json::parse(response.Body).as_object());
}

Awaitable<ObjectList> HttpObjectStore::list(std::string kind) {
  ++Counts.Lists;
  http::Response response =
      co_await call("GET", "/objects/" + kind, "", Timeout);
  co_return parseList<ObjectList>(response.Body);
}

Awaitable<uint64_t> HttpObjectStore::put(std::string kind, std::string name,
                                         std::string value, uint64_t expected) {
  ++Counts.Puts;
  std::string target =
      objectPath(kind, name) + "?if-version=" + std::to_string(expected);
  http::Response response =
      co_await call("PUT", std::move(target), std::move(value), Timeout);
  co_return json::parse(response.Body).at("version").to_number<uint64_t>();
}

Awaitable<void> HttpObjectStore::remove(std::string kind, std::string name,
                                        uint64_t expected) {
  ++Counts.Removes;
  std::string target =
      objectPath(kind, name) + "?if-version=" + std::to_string(expected);
  co_await call("DELETE", std::move(target), "", Timeout);
}

Awaitable<Changes> HttpObjectStore::watch(std::string kind, uint64_t after,
                                          Milliseconds wait) {
  ++Counts.Watches;
  std::string target = "/watch/" + kind + "?after=" + std::to_string(after) +
                       "&wait-ms=" + std::to_string(wait.count());
  http::Response response =
      co_await call("GET", std::move(target), "", wait + WatchTimeoutMargin);
  co_return parseList<Changes>(response.Body);
}

} // namespace sardineford::store
