#include "Entry/ServiceCall.h"

#include "Entry/EntrySettings.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Http/Status.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <array>

namespace sardineford::entry {

using membership::Instance;
using membership::InstanceKind;
using membership::InstanceState;

namespace {

constexpr std::string_view Prefix = "/services/";
/// Set to "true" by callers that have not sent this key before.
constexpr std::string_view FirstAttemptHeader = "X-First-Attempt";
constexpr int MaxAttempts = 4;
constexpr Milliseconds NotRunRetryAfter{1'000};
constexpr Milliseconds UnknownRetryAfter{2'000};

/// Headers that belong to one connection and are not passed on.
constexpr std::array<std::string_view, 8> HopHeaders = {
    "connection", "keep-alive", "transfer-encoding", "te", "trailer",
    "upgrade",    "host",       "content-length"};

bool isHopHeader(const std::string &name) {
  return std::any_of(
      HopHeaders.begin(), HopHeaders.end(),
      [&](std::string_view it) { return boost::algorithm::iequals(it, name); });
}

http::Request passOn(const http::Request &in, const std::string &path) {
  http::Request out;
  out.Method = in.Method;
  size_t query = in.Target.find('?');
  out.Target =
      path + (query == std::string::npos ? "" : in.Target.substr(query));
  for (const http::Header &it : in.Fields.Fields)
    if (!isHopHeader(it.Name))
      out.Fields.Fields.push_back(it);
  out.Body = in.Body;
  return out;
}

BackendResult notRunResult(std::string why) {
  BackendResult r;
  r.Run = RunState::No;
  r.Why = std::move(why);
  return r;
}

http::Response failed(ErrorKind kind, const std::string &why, RunState run,
                      Milliseconds retryAfter) {
  bool isUnknown = run == RunState::Unknown;
  Error e(kind, why,
          isUnknown
              ? "ask for the outcome with the same Idempotency-Key; the call "
                "will not be run again"
              : "send the request again after the time given");
  return http::problem(isUnknown ? 502 : http::StatusUnavailable, e, run,
                       jittered(retryAfter));
}

http::Response fromKept(const once::StoredResponse &a) {
  http::Response r;
  r.Status = a.Status;
  r.Fields.add("Content-Type", a.ContentType.empty()
                                   ? "application/octet-stream"
                                   : a.ContentType);
  if (a.IsDigest)
    r.Fields.add("X-Answer-Digest", a.Body);
  else
    r.Body = a.Body;
  return r;
}

} // namespace

bool mustNotRepeat(const config::ServiceSpec &spec, const std::string &method,
                   const std::string &path) {
  return std::any_of(spec.NeverRepeat.begin(), spec.NeverRepeat.end(),
                     [&](const config::NeverRepeatRule &it) {
                       return it.Method == method &&
                              path.starts_with(it.PathPrefix);
                     });
}

ServiceCalls::ServiceCalls(node::Node &node, OnceCalls &once)
    : Node(node), Once(once) {}

/// The less busy of two instances at random that take new work.
std::optional<ServiceCalls::Target>
ServiceCalls::pick(const std::string &service,
                   const std::vector<std::string> &without) {
  std::vector<const Instance *> able;
  MonoTime now = MonoClock::now();
  size_t all = 0;
  for (const Instance &it : Node.instances()) {
    if (it.Kind != InstanceKind::Service || it.Group != service)
      continue;
    ++all;
    bool tried =
        std::find(without.begin(), without.end(), it.Name) != without.end();
    if (it.State == InstanceState::Live && !tried)
      able.push_back(&it);
  }
  std::vector<const Instance *> healthy;
  for (const Instance *it : able)
    if (!Ejections.isEjected(it->Name, now, all))
      healthy.push_back(it);
  if (healthy.empty())
    healthy = able;
  if (healthy.empty())
    return std::nullopt;
  std::uniform_int_distribution<size_t> any(0, healthy.size() - 1);
  const Instance *a = healthy[any(randomGenerator())];
  const Instance *b = healthy[any(randomGenerator())];
  const Instance *best = InFlight[a->Name] <= InFlight[b->Name] ? a : b;
  return Target{service, "", best->Name, best->Address};
}

Awaitable<BackendResult> ServiceCalls::forward(http::Request request,
                                               Target target,
                                               Milliseconds timeout,
                                               bool once) {
  http::CallOptions options;
  options.Timeout = timeout;
  // A kept connection may fail after the bytes were given to it.
  options.FreshConnection = once;
  BackendResult r;
  ++InFlight[target.Instance];
  try {
    http::Response answer =
        co_await Node.Client.call(target.Address, std::move(request), options);
    bool leaving = answer.Status == http::StatusUnavailable &&
                   answer.Body.find("\"run\":\"no\"") != std::string::npos;
    if (leaving) {
      Ejections.eject(target.Instance, MonoClock::now());
      r = notRunResult("the backend server is leaving");
    } else {
      r.Run = RunState::Yes;
      r.Answer = {answer.Status,
                  answer.Fields.find("Content-Type").value_or(""),
                  std::move(answer.Body), false};
      Ejections.succeeded(target.Instance);
    }
  } catch (const http::TransportError &e) {
    bool nothingSent = e.Stage == http::TransportStage::NothingSent;
    bool notRun = nothingSent || !Node.Options.get(SentIsUnknown);
    r.Run = notRun ? RunState::No : RunState::Unknown;
    r.Why = e.what();
    Ejections.failed(target.Instance, MonoClock::now());
  }
  --InFlight[target.Instance];
  co_return r;
}

Awaitable<BackendResult> ServiceCalls::forwardWithRetries(http::Request request,
                                                          std::string service,
                                                          std::string path,
                                                          MonoTime deadline,
                                                          bool once) {
  retry::Budget &budget = Budgets[service];
  budget.deposit();
  std::vector<std::string> tried;
  BackendResult last = notRunResult("no instance of the service takes work");
  for (int n = 0; n < MaxAttempts; ++n) {
    if (n > 0 && !budget.withdraw())
      break;
    std::optional<Target> target = pick(service, tried);
    Milliseconds left = toMilliseconds(deadline - MonoClock::now());
    if (!target || left.count() <= 0)
      break;
    tried.push_back(target->Instance);
    http::Request copy = passOn(request, path);
    last = co_await forward(std::move(copy), *target, left, once);
    bool mayRetry =
        last.Run == RunState::No || (last.Run == RunState::Unknown && !once);
    if (!mayRetry)
      break;
  }
  co_return last;
}

Awaitable<void> ServiceCalls::answerPlain(BackendResult r,
                                          http::ResponseWriter &out) {
  http::Response answer =
      r.Run == RunState::Yes
          ? fromKept(r.Answer)
          : failed(ErrorKind::BackendFailed, r.Why, r.Run, NotRunRetryAfter);
  co_await out.send(std::move(answer));
}

/// "Not run" is said only where no earlier call with the key can have run:
/// the store says so, or, while it cannot be asked, the caller does.
static RunState runStateOf(const OnceResult &r, bool isFirst) {
  bool neverRan = r.Before == OnceResult::Earlier::None ||
                  (r.Before == OnceResult::Earlier::NotKnown && isFirst);
  return neverRan ? RunState::No : RunState::Unknown;
}

Awaitable<void> ServiceCalls::answerOnce(OnceResult r, bool isFirst,
                                         http::ResponseWriter &out) {
  http::Response answer;
  switch (r.What) {
  case OnceResult::Kind::Answered:
    answer = fromKept(r.Answer);
    break;
  case OnceResult::Kind::Replayed:
    answer = fromKept(r.Answer);
    answer.Fields.add("X-Replayed", "true");
    break;
  case OnceResult::Kind::NotRun:
    answer = failed(ErrorKind::StoreUnavailable, r.Why, runStateOf(r, isFirst),
                    NotRunRetryAfter);
    break;
  case OnceResult::Kind::Unknown:
    answer = failed(ErrorKind::OutcomeUnknown, r.Why, RunState::Unknown,
                    UnknownRetryAfter);
    break;
  case OnceResult::Kind::KeyReused:
    answer =
        http::problem(422,
                      Error(ErrorKind::Conflict,
                            "the Idempotency-Key was used for another request",
                            "use a new key for each request"),
                      RunState::No);
    break;
  }
  co_await out.send(std::move(answer));
}

Awaitable<void> ServiceCalls::handle(http::Request &request,
                                     http::ResponseWriter &out,
                                     const std::string &workspace,
                                     const std::string &requestId,
                                     MonoTime deadline) {
  std::string_view rest = http::pathOf(request.Target).substr(Prefix.size());
  std::string service(rest.substr(0, rest.find('/')));
  std::string path(rest.substr(std::min(service.size(), rest.size())));
  if (path.empty())
    path = "/";
  const config::Catalog &c = Node.Exchange.config().catalog();
  auto spec = c.Services.find(service);
  if (spec == c.Services.end()) {
    co_await out.send(
        http::problem(404,
                      Error(ErrorKind::NotFound, "no service '" + service + "'",
                            "use the name of a Service object"),
                      RunState::No));
    co_return;
  }
  deadline = std::min(deadline, MonoClock::now() + spec->second.Timeout);
  request.Fields.add("X-Request-Id", requestId);
  bool once = mustNotRepeat(spec->second, request.Method, path);
  if (!once) {
    BackendResult r =
        co_await forwardWithRetries(request, service, path, deadline, false);
    co_await answerPlain(std::move(r), out);
    co_return;
  }
  std::optional<std::string> key = request.Fields.find("Idempotency-Key");
  if (!key || key->empty()) {
    co_await out.send(http::problem(
        400,
        Error(ErrorKind::BadRequest, "this call must not repeat and has no key",
              "send an Idempotency-Key header that is new for each request"),
        RunState::No));
    co_return;
  }
  // The name must be safe in a path of the store, whatever the caller sends.
  std::string scope = workspace + "\n" + service + "\n" + *key;
  std::string name =
      std::to_string(hash64(scope)) + "-" + std::to_string(hash64(scope, 1));
  uint64_t requestHash = hash64(request.Method + path + "\n" + request.Body);
  OnceCalls::Run run = [this, request, service, path, deadline]() {
    return forwardWithRetries(request, service, path, deadline, true);
  };
  OnceResult r =
      co_await Once.call(name, requestHash, std::move(run), deadline);
  bool isFirst = request.Fields.find(FirstAttemptHeader) == "true";
  co_await answerOnce(std::move(r), isFirst, out);
}

} // namespace sardineford::entry
