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
/// Set to "true" by callers that have not sent the idempotency key before.
constexpr std::string_view FirstAttemptHeader = "X-First-Attempt";
constexpr int MaxAttempts = 4;
constexpr Milliseconds NotExecutedRetryAfter{1'000};
constexpr Milliseconds UnknownRetryAfter{2'000};

/// Headers that apply to a single connection and are not forwarded.
constexpr std::array<std::string_view, 8> HopByHopHeaders = {
    "connection", "keep-alive", "transfer-encoding", "te", "trailer",
    "upgrade",    "host",       "content-length"};

bool isHopByHopHeader(const std::string &name) {
  return std::any_of(
      HopByHopHeaders.begin(), HopByHopHeaders.end(),
      [&](std::string_view it) { return boost::algorithm::iequals(it, name); });
}

http::Request makeBackendRequest(const http::Request &in,
                                 const std::string &path) {
  http::Request out;
  out.Method = in.Method;
  size_t query = in.Target.find('?');
  out.Target =
      path + (query == std::string::npos ? "" : in.Target.substr(query));
  for (const http::Header &it : in.Fields.Fields)
    if (!isHopByHopHeader(it.Name))
      out.Fields.Fields.push_back(it);
  out.Body = in.Body;
  return out;
}

BackendResult notExecuted(std::string reason) {
  BackendResult r;
  r.Run = Executed::No;
  r.Reason = std::move(reason);
  return r;
}

http::Response errorResponse(ErrorKind kind, const std::string &reason,
                             Executed run, Milliseconds retryAfter) {
  bool isUnknown = run == Executed::Unknown;
  Error e(kind, reason,
          isUnknown
              ? "query the outcome with the same Idempotency-Key; the call "
                "will not be executed again"
              : "send the request again after the Retry-After time");
  return http::problem(isUnknown ? 502 : http::StatusUnavailable, e, run,
                       jittered(retryAfter));
}

http::Response toHttpResponse(const once::StoredResponse &a) {
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

/// Chooses two random instances that accept new work and returns the one with
/// fewer requests in flight. If all of them are ejected, ejections are ignored.
std::optional<ServiceCalls::Target>
ServiceCalls::pickInstance(const std::string &service,
                           const std::vector<std::string> &excluded) {
  std::vector<const Instance *> available;
  MonoTime now = MonoClock::now();
  size_t total = 0;
  for (const Instance &it : Node.instances()) {
    if (it.Kind != InstanceKind::Service || it.Group != service)
      continue;
    ++total;
    bool tried =
        std::find(excluded.begin(), excluded.end(), it.Name) != excluded.end();
    if (it.State == InstanceState::Live && !tried)
      available.push_back(&it);
  }
  std::vector<const Instance *> healthy;
  for (const Instance *it : available)
    if (!Ejections.isEjected(it->Name, now, total))
      healthy.push_back(it);
  if (healthy.empty())
    healthy = available;
  if (healthy.empty())
    return std::nullopt;
  std::uniform_int_distribution<size_t> randomIndex(0, healthy.size() - 1);
  const Instance *a = healthy[randomIndex(randomGenerator())];
  const Instance *b = healthy[randomIndex(randomGenerator())];
  const Instance *best = InFlight[a->Name] <= InFlight[b->Name] ? a : b;
  return Target{service, "", best->Name, best->Address};
}

Awaitable<BackendResult> ServiceCalls::forward(http::Request request,
                                               Target target,
                                               Milliseconds timeout,
                                               bool atMostOnce) {
  http::CallOptions options;
  options.Timeout = timeout;
  // A reused connection may turn out to be closed after the request was
  // written, which leaves the outcome unknown.
  options.FreshConnection = atMostOnce;
  BackendResult r;
  ++InFlight[target.Instance];
  try {
    http::Response response =
        co_await Node.Client.call(target.Address, std::move(request), options);
    bool leaving = response.Status == http::StatusUnavailable &&
                   response.Body.find("\"run\":\"no\"") != std::string::npos;
    if (leaving) {
      Ejections.eject(target.Instance, MonoClock::now());
      r = notExecuted("the backend server is leaving");
    } else {
      r.Run = Executed::Yes;
      r.Response = {response.Status,
                    response.Fields.find("Content-Type").value_or(""),
                    std::move(response.Body), false};
      Ejections.succeeded(target.Instance);
    }
  } catch (const http::TransportError &e) {
    bool nothingSent = e.Stage == http::TransportStage::NothingSent;
    bool wasNotExecuted = nothingSent || !Node.Options.get(SentIsUnknown);
    r.Run = wasNotExecuted ? Executed::No : Executed::Unknown;
    r.Reason = e.what();
    Ejections.failed(target.Instance, MonoClock::now());
  }
  --InFlight[target.Instance];
  co_return r;
}

Awaitable<BackendResult> ServiceCalls::forwardWithRetries(http::Request request,
                                                          std::string service,
                                                          std::string path,
                                                          MonoTime deadline,
                                                          bool atMostOnce) {
  retry::Budget &budget = Budgets[service];
  budget.deposit();
  std::vector<std::string> tried;
  BackendResult result = notExecuted("no instance of the service accepts work");
  for (int n = 0; n < MaxAttempts; ++n) {
    if (n > 0 && !budget.withdraw())
      break;
    std::optional<Target> target = pickInstance(service, tried);
    Milliseconds remaining = toMilliseconds(deadline - MonoClock::now());
    if (!target || remaining.count() <= 0)
      break;
    tried.push_back(target->Instance);
    http::Request copy = makeBackendRequest(request, path);
    result = co_await forward(std::move(copy), *target, remaining, atMostOnce);
    bool mayRetry = result.Run == Executed::No ||
                    (result.Run == Executed::Unknown && !atMostOnce);
    if (!mayRetry)
      break;
  }
  co_return result;
}

Awaitable<void> ServiceCalls::sendResult(BackendResult r,
                                         http::ResponseWriter &out) {
  http::Response response =
      r.Run == Executed::Yes ? toHttpResponse(r.Response)
                             : errorResponse(ErrorKind::BackendFailed, r.Reason,
                                             r.Run, NotExecutedRetryAfter);
  co_await out.send(std::move(response));
}

/// Returns Executed::No only if no earlier call with the key can have been
/// executed: according to the store or, while the store is unavailable,
/// according to the caller.
static Executed runStateOf(const OnceResult &r, bool isFirstAttempt) {
  bool wasNotExecuted =
      r.Prior == OnceResult::PriorCalls::None ||
      (r.Prior == OnceResult::PriorCalls::NotKnown && isFirstAttempt);
  return wasNotExecuted ? Executed::No : Executed::Unknown;
}

Awaitable<void> ServiceCalls::sendOnceResult(OnceResult r, bool isFirstAttempt,
                                             http::ResponseWriter &out) {
  http::Response response;
  switch (r.Outcome) {
  case OnceResult::Kind::Executed:
    response = toHttpResponse(r.Response);
    break;
  case OnceResult::Kind::Replayed:
    response = toHttpResponse(r.Response);
    response.Fields.add("X-Replayed", "true");
    break;
  case OnceResult::Kind::NotExecuted:
    response =
        errorResponse(ErrorKind::StoreUnavailable, r.Reason,
                      runStateOf(r, isFirstAttempt), NotExecutedRetryAfter);
    break;
  case OnceResult::Kind::Unknown:
    response = errorResponse(ErrorKind::OutcomeUnknown, r.Reason,
                             Executed::Unknown, UnknownRetryAfter);
    break;
  case OnceResult::Kind::KeyReused:
    response =
        http::problem(422,
                      Error(ErrorKind::Conflict,
                            "the Idempotency-Key was used for another request",
                            "use a new key for each request"),
                      Executed::No);
    break;
  }
  co_await out.send(std::move(response));
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
  const config::Catalog &catalog = Node.Exchange.config().catalog();
  auto spec = catalog.Services.find(service);
  if (spec == catalog.Services.end()) {
    co_await out.send(http::problem(http::StatusNotFound,
                                    Error(ErrorKind::NotFound,
                                          "unknown service '" + service + "'",
                                          "use the name of a Service object"),
                                    Executed::No));
    co_return;
  }
  deadline = std::min(deadline, MonoClock::now() + spec->second.Timeout);
  request.Fields.add("X-Request-Id", requestId);
  bool atMostOnce = mustNotRepeat(spec->second, request.Method, path);
  if (!atMostOnce) {
    BackendResult r =
        co_await forwardWithRetries(request, service, path, deadline, false);
    co_await sendResult(std::move(r), out);
    co_return;
  }
  std::optional<std::string> key = request.Fields.find("Idempotency-Key");
  if (!key || key->empty()) {
    co_await out.send(http::problem(
        400,
        Error(ErrorKind::BadRequest,
              "this call must run at most once and has no Idempotency-Key",
              "send an Idempotency-Key header with a new key for each request"),
        Executed::No));
    co_return;
  }
  // The key of the caller is hashed, so that any key is safe in a store path.
  std::string scope = workspace + "\n" + service + "\n" + *key;
  std::string name =
      std::to_string(hash64(scope)) + "-" + std::to_string(hash64(scope, 1));
  uint64_t requestHash = hash64(request.Method + path + "\n" + request.Body);
  OnceCalls::Operation operation = [this, request, service, path, deadline]() {
    return forwardWithRetries(request, service, path, deadline, true);
  };
  OnceResult r =
      co_await Once.call(name, requestHash, std::move(operation), deadline);
  bool isFirstAttempt = request.Fields.find(FirstAttemptHeader) == "true";
  co_await sendOnceResult(std::move(r), isFirstAttempt, out);
}

} // namespace sardineford::entry
