#include "Sardineford/Store/HttpObjectStore.h"

#include "Sardineford/Http/Status.h"
#include "Sardineford/Store/StoreCall.h"

#include <boost/json.hpp>

namespace sardineford::store {

namespace json = boost::json;

namespace {

/// A watch is answered somewhat after its wait ends.
constexpr Milliseconds WatchSlack{2'000};

std::string objectTarget(const std::string &kind, const std::string &name) {
  return "/objects/" + kind + "/" + name;
}

Object parseObject(const json::object &o) {
  Object out;
  out.Kind = json::value_to<std::string>(o.at("kind"));
  out.Name = json::value_to<std::string>(o.at("name"));
  out.Version = o.at("version").to_number<uint64_t>();
  out.Value = json::value_to<std::string>(o.at("value"));
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

HttpObjectStore::HttpObjectStore(http::Client &client, http::Endpoint at,
                                 Milliseconds timeout)
    : Client(client), At(std::move(at)), Timeout(timeout) {}

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
  co_return co_await callStore(Client, At, std::move(request),
                               std::move(options), Counts);
}

Awaitable<std::optional<Object>> HttpObjectStore::get(std::string kind,
                                                      std::string name) {
  ++Counts.Gets;
  http::Response r =
      co_await call("GET", objectTarget(kind, name), "", Timeout);
  if (r.Status == http::StatusNotFound)
    co_return std::nullopt;
  co_return parseObject(json::parse(r.Body).as_object());
}

Awaitable<ObjectList> HttpObjectStore::list(std::string kind) {
  ++Counts.Lists;
  http::Response r = co_await call("GET", "/objects/" + kind, "", Timeout);
  co_return parseList<ObjectList>(r.Body);
}

Awaitable<uint64_t> HttpObjectStore::put(std::string kind, std::string name,
                                         std::string value, uint64_t expected) {
  ++Counts.Puts;
  std::string target =
      objectTarget(kind, name) + "?if-version=" + std::to_string(expected);
  http::Response r =
      co_await call("PUT", std::move(target), std::move(value), Timeout);
  co_return json::parse(r.Body).at("version").to_number<uint64_t>();
}

Awaitable<void> HttpObjectStore::remove(std::string kind, std::string name,
                                        uint64_t expected) {
  ++Counts.Removes;
  std::string target =
      objectTarget(kind, name) + "?if-version=" + std::to_string(expected);
  co_await call("DELETE", std::move(target), "", Timeout);
}

Awaitable<Changes> HttpObjectStore::watch(std::string kind, uint64_t after,
                                          Milliseconds wait) {
  ++Counts.Watches;
  std::string target = "/watch/" + kind + "?after=" + std::to_string(after) +
                       "&wait-ms=" + std::to_string(wait.count());
  http::Response r =
      co_await call("GET", std::move(target), "", wait + WatchSlack);
  co_return parseList<Changes>(r.Body);
}

} // namespace sardineford::store
