#include "StandIns/ObjectApi/ObjectApi.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace sardineford::standins {

namespace json = boost::json;

namespace {

constexpr size_t MaxValueBytes = size_t{1024} * 1024;

uint64_t numberOf(const std::optional<std::string> &text) {
  uint64_t n = 0;
  if (text)
    std::from_chars(text->data(), text->data() + text->size(), n);
  return n;
}

/// Kind and name in a path such as "/objects/KIND/NAME".
struct ObjectPath {
  std::string Kind;
  std::string Name;
};

ObjectPath parsePath(std::string_view path) {
  path.remove_prefix(path.find('/', 1) + 1);
  size_t slash = path.find('/');
  if (slash == std::string_view::npos)
    return {std::string(path), ""};
  return {std::string(path.substr(0, slash)),
          std::string(path.substr(slash + 1))};
}

http::Response makeError(unsigned status, std::string text) {
  return http::jsonResponse(status,
                            json::serialize(json::object{{"error", text}}));
}

json::object toJson(const std::string &kind, const std::string &name,
                    uint64_t version, const std::string &value) {
  return {
      {"kind", kind}, {"name", name}, {"version", version}, {"value", value}};
}

} // namespace

bool ObjectApi::TokenBucket::tryConsume(double rate) {
  if (rate <= 0)
    return true;
  MonoTime now = MonoClock::now();
  if (RefilledAt == MonoTime{})
    Tokens = rate;
  else
    Tokens = std::min(rate, Tokens + rate * toSeconds(now - RefilledAt));
  RefilledAt = now;
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

ObjectApi::ObjectApi(IoContext &io, http::Endpoint listen, Milliseconds listLag)
    : Io(io),
      Listener(io, http::ServerOptions{.Listen = std::move(listen)},
               [this](http::Request &request, http::ResponseWriter &out) {
                 return handle(request, out);
               }),
      ListLag(listLag), Changed(io) {
  Changed.expires_at(MonoTime::max());
}

Awaitable<void> ObjectApi::handle(http::Request &request,
                                  http::ResponseWriter &out) {
  std::string_view path = http::pathOf(request.Target);
  if (path.starts_with("/admin/")) {
    co_await out.send(handleAdmin(request));
    co_return;
  }
  if (Mode.Delay.count() > 0)
    co_await sleepFor(Mode.Delay);
  if (Mode.Down) {
    co_await out.send(makeError(503, "the store is down"));
    co_return;
  }
  bool isWrite = request.Method != "GET";
  bool allowed = isWrite ? WriteLimit.tryConsume(Mode.WritesPerSecond)
                         : ReadLimit.tryConsume(Mode.ReadsPerSecond);
  if (!allowed)
    co_await out.send(makeError(429, "rate limit exceeded"));
  else if (path.starts_with("/watch/"))
    co_await handleWatch(request, out);
  else if (path.starts_with("/objects/"))
    co_await handleObjects(request, out);
  else if (path.starts_with("/instances"))
    co_await out.send(handleInstances(request));
  else
    co_await out.send(makeError(404, "no such path"));
}

Awaitable<void> ObjectApi::handleObjects(http::Request &request,
                                         http::ResponseWriter &out) {
  ObjectPath path = parsePath(http::pathOf(request.Target));
  if (request.Method == "GET") {
    ++CallCounts[path.Name.empty() ? "list" : "get"];
    co_await out.send(read(path.Kind, path.Name));
    co_return;
  }
  ++CallCounts[request.Method == "PUT" ? "put" : "remove"];
  http::Response r = write(request, path.Kind, path.Name);
  std::uniform_real_distribution<double> chance(0, 1);
  if (r.Status == 200 && chance(Generator) < Mode.LostReplyRatio) {
    ++CallCounts["lost_reply"];
    out.abort();
    co_return;
  }
  co_await out.send(std::move(r));
}

http::Response ObjectApi::read(const std::string &kind,
                               const std::string &name) {
  if (name.empty())
    return http::jsonResponse(200, changesSince(kind, 0, false));
  const ObjectsByName &objects = Kinds[kind];
  auto it = objects.find(name);
  if (it == objects.end() || it->second.Removed)
    return makeError(404, "no such object");
  return http::jsonResponse(
      200, json::serialize(
               toJson(kind, name, it->second.Version, it->second.Value)));
}

http::Response ObjectApi::write(const http::Request &request,
                                const std::string &kind,
                                const std::string &name) {
  if (request.Body.size() > MaxValueBytes)
    return makeError(413, "value is larger than 1 MB");
  uint64_t expected = numberOf(http::queryOf(request.Target, "if-version"));
  Entry &e = Kinds[kind][name];
  uint64_t current = e.Removed ? 0 : e.Version;
  if (current != expected)
    return makeError(409, "version mismatch; the current version is " +
                              std::to_string(current));
  e.Removed = request.Method == "DELETE";
  e.Version = e.Removed ? 0 : ++NextVersion;
  e.Revision = ++Revision;
  e.Value = e.Removed ? "" : request.Body;
  Changed.cancel();
  return http::jsonResponse(
      200, json::serialize(json::object{{"version", e.Version}}));
}

uint64_t ObjectApi::newestRevision(const std::string &kind) const {
  uint64_t newest = 0;
  auto it = Kinds.find(kind);
  if (it == Kinds.end())
    return 0;
  for (const auto &[name, e] : it->second)
    newest = std::max(newest, e.Revision);
  return newest;
}

std::string ObjectApi::changesSince(const std::string &kind, uint64_t revision,
                                    bool includeRemoved) {
  json::array objects;
  for (const auto &[name, e] : Kinds[kind])
    if (e.Revision > revision && (includeRemoved || !e.Removed))
      objects.push_back(toJson(kind, name, e.Version, e.Value));
  return json::serialize(
      json::object{{"revision", Revision}, {"objects", objects}});
}

Awaitable<void> ObjectApi::handleWatch(const http::Request &request,
                                       http::ResponseWriter &out) {
  ++CallCounts["watch"];
  std::string kind = parsePath(http::pathOf(request.Target)).Kind;
  uint64_t after = numberOf(http::queryOf(request.Target, "after"));
  Milliseconds wait(numberOf(http::queryOf(request.Target, "wait-ms")));
  MonoTime end = MonoClock::now() + wait;
  while (newestRevision(kind) <= after && MonoClock::now() < end &&
         !Mode.Down) {
    boost::asio::steady_timer timeout(Io, end);
    using namespace boost::asio::experimental::awaitable_operators;
    co_await (
        Changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable)) ||
        timeout.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable)));
  }
  if (Mode.Down)
    co_await out.send(makeError(503, "the store is down"));
  else
    co_await out.send(http::jsonResponse(200, changesSince(kind, after, true)));
}

http::Response ObjectApi::handleInstances(const http::Request &) {
  ++CallCounts["instances"];
  std::string body = "[";
  for (const auto &[name, text] : Instances)
    body += (body.size() > 1 ? "," : "") + text;
  return http::jsonResponse(200, body + "]");
}

http::Response ObjectApi::handleAdmin(const http::Request &request) {
  std::string_view path = http::pathOf(request.Target);
  if (path == "/admin/counts") {
    json::object counts;
    for (const auto &[name, n] : CallCounts)
      counts[name] = n;
    return http::jsonResponse(200, json::serialize(counts));
  }
  json::object body = json::parse(request.Body).as_object();
  if (path == "/admin/instance") {
    std::string name = json::value_to<std::string>(body.at("name"));
    // The list shows a change only after ListLag.
    spawn(Io, "instance-list",
          [this, name, text = request.Body]() -> Awaitable<void> {
            co_await sleepFor(ListLag);
            Instances[name] = text;
          });
    return http::jsonResponse(200, "{}");
  }
  if (path != "/admin/mode")
    return makeError(404, "no such path");
  auto number = [&](const char *name, double current) {
    return body.contains(name) ? body.at(name).to_number<double>() : current;
  };
  if (body.contains("down"))
    Mode.Down = body.at("down").as_bool();
  Mode.Delay = Milliseconds(static_cast<int64_t>(
      number("delay_ms", static_cast<double>(Mode.Delay.count()))));
  Mode.LostReplyRatio = number("lost_reply_share", Mode.LostReplyRatio);
  Mode.WritesPerSecond = number("writes_per_second", Mode.WritesPerSecond);
  Mode.ReadsPerSecond = number("reads_per_second", Mode.ReadsPerSecond);
  Changed.cancel();
  return http::jsonResponse(200, "{}");
}

} // namespace sardineford::standins
