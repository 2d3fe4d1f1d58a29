#include "Timeline/Collect.h"

#include "Sardineford/Http/Client.h"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>

namespace sardineford::timeline {

namespace json = boost::json;

namespace {

constexpr Milliseconds CallTimeout{2'000};
/// Number of low bits of a hybrid time that hold the counter.
constexpr int CounterBits = 16;
constexpr int RowHeight = 26;
constexpr int LabelWidth = 150;
constexpr int Width = 1'100;

std::string textOf(const json::object &o, const char *name) {
  const json::value *v = o.if_contains(name);
  return v && v->is_string() ? std::string(v->as_string()) : "";
}

std::string describe(const json::object &o) {
  std::string out;
  for (const auto &it : o) {
    std::string_view key = it.key();
    if (key == "hlc" || key == "us" || key == "process" || key == "event" ||
        key == "instance" || key == "domain")
      continue;
    std::string value = it.value().is_string()
                            ? std::string(it.value().as_string())
                            : json::serialize(it.value());
    out += fmt::format(" {}={}", std::string(key), value);
  }
  return out;
}

CollectedEvent toEvent(const json::object &o) {
  CollectedEvent e;
  e.Time = o.at("hlc").to_number<uint64_t>();
  e.Process = textOf(o, "process");
  e.FailureDomain = textOf(o, "domain");
  e.Kind = textOf(o, "event");
  e.Request = textOf(o, "request");
  e.Engine = textOf(o, "engine");
  e.Pool = textOf(o, "pool");
  e.Text = describe(o);
  return e;
}

bool matches(const CollectedEvent &e, const Filter &f) {
  return (f.Request.empty() || e.Request == f.Request) &&
         (f.Engine.empty() || e.Engine == f.Engine) &&
         (f.Pool.empty() || e.Pool == f.Pool);
}

Awaitable<void> collectOne(http::Client &client, http::Endpoint at,
                           const Filter &filter, Collection &out) {
  http::Request request;
  request.Target = "/events";
  http::CallOptions options;
  options.Timeout = CallTimeout;
  http::Response r;
  try {
    r = co_await client.call(at, std::move(request), options);
  } catch (const Error &) {
    out.Unreachable.push_back(http::toString(at));
    co_return;
  }
  json::value root = json::parse(r.Body);
  auto overflowed = root.at("overflowed").to_number<uint64_t>();
  if (overflowed > 0)
    out.Overflowed.push_back(
        fmt::format("{} ({} events)",
                    std::string(root.at("process").as_string()), overflowed));
  for (const json::value &it : root.at("events").as_array()) {
    CollectedEvent e = toEvent(it.as_object());
    if (matches(e, filter))
      out.Events.push_back(std::move(e));
  }
}

void removeOldEvents(Collection &c, uint64_t maxAgeMs) {
  if (maxAgeMs == 0 || c.Events.empty())
    return;
  uint64_t maxAge = maxAgeMs << CounterBits;
  uint64_t newest = c.Events.back().Time;
  std::erase_if(c.Events, [&](const CollectedEvent &e) {
    return e.Time + maxAge < newest;
  });
}

uint64_t toMs(uint64_t time) { return time >> CounterBits; }

std::string escape(const std::string &text) {
  std::string out;
  for (char c : text)
    out += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
  return out;
}

} // namespace

Collection collect(const std::vector<http::Endpoint> &processes,
                   const Filter &filter) {
  Collection out;
  IoContext io(1);
  http::Client client(io);
  for (const http::Endpoint &it : processes)
    spawn(io, "collect", [&client, &filter, &out, it] {
      return collectOne(client, it, filter, out);
    });
  io.run();
  std::stable_sort(out.Events.begin(), out.Events.end(),
                   [](const CollectedEvent &a, const CollectedEvent &b) {
                     return a.Time < b.Time;
                   });
  removeOldEvents(out, filter.MaxAgeMs);
  return out;
}

std::string toText(const Collection &c) {
  std::string out;
  uint64_t first = c.Events.empty() ? 0 : toMs(c.Events.front().Time);
  for (const CollectedEvent &e : c.Events)
    out += fmt::format("{:>9} ms  {:16} {:20}{}\n", toMs(e.Time) - first,
                       e.Process, e.Kind, e.Text);
  for (const std::string &it : c.Unreachable)
    out += fmt::format("no response from {}\n", it);
  for (const std::string &it : c.Overflowed)
    out += fmt::format("events are missing from {}\n", it);
  return out;
}

std::string toSvg(const Collection &c) {
  std::map<std::string, int> rows;
  for (const CollectedEvent &e : c.Events)
    rows.try_emplace(e.Process, static_cast<int>(rows.size()));
  int height = (static_cast<int>(rows.size()) + 2) * RowHeight;
  std::string out = fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
      "font-family='sans-serif' font-size='11'>\n",
      LabelWidth + Width + 20, height);
  for (const auto &[name, row] : rows) {
    int y = (row + 1) * RowHeight;
    out +=
        fmt::format("<text x='4' y='{}'>{}</text><line x1='{}' y1='{}' "
                    "x2='{}' y2='{}' stroke='#ccc'/>\n",
                    y + 4, escape(name), LabelWidth, y, LabelWidth + Width, y);
  }
  uint64_t first = c.Events.empty() ? 0 : toMs(c.Events.front().Time);
  uint64_t last = c.Events.empty() ? 1 : toMs(c.Events.back().Time);
  double span = static_cast<double>(std::max<uint64_t>(1, last - first));
  for (const CollectedEvent &e : c.Events) {
    double x =
        LabelWidth + static_cast<double>(toMs(e.Time) - first) * Width / span;
    bool isFailure = e.Kind.find("lost") != std::string::npos ||
                     e.Kind.find("failed") != std::string::npos ||
                     e.Kind.find("refused") != std::string::npos;
    out += fmt::format("<circle cx='{:.1f}' cy='{}' r='4' fill='{}'><title>{} "
                       "ms {}{}</title></circle>\n",
                       x, (rows[e.Process] + 1) * RowHeight,
                       isFailure ? "#c0392b" : "#2a6f9d", toMs(e.Time) - first,
                       escape(e.Kind), escape(e.Text));
  }
  return out + "</svg>\n";
}

} // namespace sardineford::timeline
