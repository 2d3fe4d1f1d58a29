#include "Entry/Entry.h"

#include "Entry/EntrySettings.h"
#include "Entry/Sinks.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Http/Status.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace sardineford::entry {

namespace json = boost::json;
using timeline::EventKind;

namespace {

constexpr size_t BytesPerToken = 4;
constexpr double InitialOutputRatio = 0.75;
constexpr double OutputRatioWeight = 0.05;
constexpr Milliseconds MaxDeadline{600'000};

unsigned statusOf(ErrorKind k) {
  switch (k) {
  case ErrorKind::BadRequest:
    return 400;
  case ErrorKind::NotFound:
    return http::StatusNotFound;
  case ErrorKind::TooLarge:
    return 413;
  case ErrorKind::Conflict:
    return 409;
  default:
    return http::StatusUnavailable;
  }
}

Error rejectionError(admission::RejectionReason reason) {
  switch (reason) {
  case admission::RejectionReason::NoEngine:
    return {ErrorKind::NotReady, "no engine of the pool accepts new work",
            "send the request again after the Retry-After time"};
  case admission::RejectionReason::ShareExceeded:
    return {ErrorKind::LimitReached,
            "the workspace exceeds its share of the overloaded pool",
            "send the request again after the Retry-After time"};
  default:
    return {ErrorKind::DeadlineTooShort,
            "the response cannot be completed within the deadline",
            "send the request again after the Retry-After time, or with a "
            "later deadline"};
  }
}

Milliseconds deadlineOf(const http::Request &request,
                        Milliseconds defaultDeadline) {
  std::optional<std::string> text = request.Fields.find("X-Deadline-Ms");
  if (!text)
    return defaultDeadline;
  int64_t n = 0;
  auto [end, ec] =
      std::from_chars(text->data(), text->data() + text->size(), n);
  if (ec != std::errc() || n <= 0 || n > MaxDeadline.count())
    throw Error(ErrorKind::BadRequest, "X-Deadline-Ms is not a valid time",
                "send a number of milliseconds between 1 and 600000");
  return Milliseconds(n);
}

} // namespace

Entry::Entry(node::Node &node)
    : Node(node), Engines(node.Io, node.Client), OnceStore(node.Store),
      Once(node, OnceStore), Services(node, Once) {
  Node.Exchange.onGenerationChanged([this] { startTrackers(); });
  Node.addReadiness([this] {
    Milliseconds wait = Node.Options.milliseconds(StartWait);
    return hasAllBackends() || MonoClock::now() - Started > wait;
  });
}

bool Entry::hasAllBackends() const {
  const config::Catalog &catalog = Node.Exchange.config().catalog();
  bool pools = std::all_of(Pools.begin(), Pools.end(), [](const auto &it) {
    return it.second->hasEngines();
  });
  auto isListed = [this](const auto &service) {
    return std::any_of(Node.instances().begin(), Node.instances().end(),
                       [&](const membership::Instance &it) {
                         return it.Kind == membership::InstanceKind::Service &&
                                it.Group == service.first;
                       });
  };
  return pools && std::all_of(catalog.Services.begin(), catalog.Services.end(),
                              isListed);
}

void Entry::start() {
  Node.serve([this](http::Request &request,
                    http::ResponseWriter &out) { return handle(request, out); },
             static_cast<size_t>(Node.Options.get(MaxBodyBytes)));
  Node.start();
}

void Entry::startTrackers() {
  for (const auto &[name, spec] : Node.Exchange.config().catalog().Pools) {
    if (Pools.contains(name))
      continue;
    auto tracker = std::make_unique<PoolTracker>(Node, name);
    PoolTracker *p = tracker.get();
    Pools[name] = std::move(tracker);
    spawn(Node.Io, "pool-" + name, [p] { return p->reportLoop(); });
  }
}

Entry::Context Entry::makeContext(const http::Request &request) const {
  Context context;
  context.Start = MonoClock::now();
  context.RequestId = request.Fields.find("X-Request-Id").value_or(makeId());
  context.Workspace = request.Fields.find("X-Workspace").value_or("");
  const config::Catalog &catalog = Node.Exchange.config().catalog();
  auto it = catalog.Workspaces.find(context.Workspace);
  if (it == catalog.Workspaces.end())
    throw Error(
        ErrorKind::NotFound, "unknown workspace '" + context.Workspace + "'",
        "send the name of a Workspace object in the X-Workspace header");
  context.Spec = it->second;
  context.Deadline = context.Start + deadlineOf(request, it->second.Deadline);
  return context;
}

Awaitable<void> Entry::handle(http::Request &request,
                              http::ResponseWriter &out) {
  std::optional<http::Response> errorResponse;
  try {
    Context context = makeContext(request);
    co_await dispatch(request, out, context);
  } catch (const http::TransportError &) {
    throw;
  } catch (const Error &e) {
    if (out.started())
      throw;
    errorResponse = http::problem(statusOf(e.Kind), e, Executed::No);
  }
  if (!errorResponse)
    co_return;
  Node.Metrics.count("sardineford_bad_requests_total", {});
  co_await out.send(std::move(*errorResponse));
}

Awaitable<void> Entry::dispatch(http::Request &request,
                                http::ResponseWriter &out,
                                const Context &context) {
  std::string path(http::pathOf(request.Target));
  if (path == "/v1/chat/completions" && request.Method == "POST")
    co_return co_await handleCompletion(request, out, context, true);
  if (path == "/v1/completions" && request.Method == "POST")
    co_return co_await handleCompletion(request, out, context, false);
  if (path == "/v1/models" && request.Method == "GET")
    co_return co_await out.send(listModels(context));
  if (path.starts_with("/services/")) {
    std::string service = path.substr(10, path.find('/', 10) - 10);
    const std::vector<std::string> &allowed = context.Spec.Services;
    if (std::find(allowed.begin(), allowed.end(), service) == allowed.end())
      throw Error(ErrorKind::NotFound,
                  "the workspace has no service '" + service + "'",
                  "add the service to the Workspace object");
    co_return co_await Services.handle(request, out, context.Workspace,
                                       context.RequestId, context.Deadline);
  }
  throw Error(ErrorKind::NotFound, "unknown path or method",
              "use /v1/chat/completions, /v1/completions, /v1/models or "
              "/services/NAME/...");
}

http::Response Entry::listModels(const Context &context) const {
  json::array data;
  for (const std::string &it : context.Spec.Models)
    data.push_back(json::object{{"id", it}, {"object", "model"}});
  return http::jsonResponse(
      200, json::serialize(
               json::object{{"object", "list"}, {"data", std::move(data)}}));
}

PoolTracker &Entry::poolOf(const std::string &model) {
  const config::Catalog &catalog = Node.Exchange.config().catalog();
  auto it = catalog.Models.find(model);
  auto pool =
      it == catalog.Models.end() ? Pools.end() : Pools.find(it->second.Pool);
  if (pool == Pools.end())
    throw Error(ErrorKind::NotFound, "unknown model '" + model + "'",
                "use a model that GET /v1/models lists");
  return *pool->second;
}

double Entry::expectedOutput(const std::string &model,
                             uint64_t maxTokens) const {
  auto it = OutputRatio.find(model);
  double ratio = it == OutputRatio.end() ? InitialOutputRatio : it->second;
  return ratio * static_cast<double>(maxTokens);
}

void Entry::updateOutputRatio(const std::string &model, uint64_t maxTokens,
                              uint64_t tokens) {
  auto [it, isNew] = OutputRatio.try_emplace(model, InitialOutputRatio);
  double ratio = static_cast<double>(tokens) / static_cast<double>(maxTokens);
  it->second += OutputRatioWeight * (ratio - it->second);
}

ModelRequest Entry::makeRequest(const http::Request &request,
                                const Context &context, bool isChat) const {
  ModelRequest r;
  r.Id = context.RequestId;
  r.Deadline = context.Deadline;
  r.Completion = parseCompletion(request.Body, isChat);
  r.Resume = parseResume(request.Fields);
  const config::Catalog &catalog = Node.Exchange.config().catalog();
  auto model = catalog.Models.find(r.Completion.Model);
  const std::vector<std::string> &allowed = context.Spec.Models;
  if (model == catalog.Models.end() ||
      std::find(allowed.begin(), allowed.end(), r.Completion.Model) ==
          allowed.end())
    throw Error(ErrorKind::NotFound,
                "unknown model '" + r.Completion.Model + "'",
                "use a model that GET /v1/models lists");
  r.Shape.PromptTokens = r.Completion.Prompt.size() / BytesPerToken + 1;
  const config::ModelSpec &spec = model->second;
  if (r.Shape.PromptTokens > static_cast<uint64_t>(spec.MaxPromptTokens))
    throw Error(ErrorKind::TooLarge,
                "the prompt exceeds the limit of the model",
                "send a shorter prompt");
  r.Completion.MaxTokens = std::min(
      r.Completion.MaxTokens, static_cast<uint64_t>(spec.MaxOutputTokens));
  r.Shape.ExpectedOutputTokens =
      expectedOutput(r.Completion.Model, r.Completion.MaxTokens);
  size_t pieceBytes = routing::EngineSpeeds().TokensPerPiece * BytesPerToken;
  std::string_view prompt = r.Completion.Prompt;
  for (size_t end = pieceBytes; end <= prompt.size(); end += pieceBytes)
    r.Shape.PrefixHashes.push_back(hash64(prompt.substr(0, end)));
  r.Shape.Affinity =
      hash64(context.Workspace, hash64(prompt.substr(0, pieceBytes)));
  admission::RequestClass size =
      admission::classify(r.Shape.PromptTokens, r.Completion.MaxTokens);
  r.Priority = static_cast<int>(size);
  r.Shape.HasPriority = size == admission::RequestClass::Short;
  return r;
}

/// Logs the load and the estimates that a rejection is based on.
void Entry::logRejection(const routing::PoolView &view,
                         const std::optional<routing::Route> &route,
                         const ModelRequest &r) const {
  if (!route || !log::enabled(log::Category::Routing, log::Level::Debug))
    return;
  const routing::EngineView &prefill = view.Engines[route->Prefill];
  const routing::EngineView &decode = view.Engines[route->Decode];
  log::debug(log::Category::Routing,
             "request {} of {}+{:.0f} tokens rejected: estimated time to first "
             "token {:.3f} s, to completion {:.3f} s; prefill {} queued tokens "
             "{}+{}; decode {} {} running {}+{} waiting {}",
             r.Id, r.Shape.PromptTokens, r.Shape.ExpectedOutputTokens,
             route->TimeToFirstToken.count(), route->TimeToCompletion.count(),
             prefill.Name, prefill.QueuedPrefillTokens,
             prefill.LocalPrefillTokens, decode.Name,
             routing::toString(decode.Role), decode.Running,
             decode.LocalRunning, decode.Waiting);
}

admission::Decision Entry::admit(const ModelRequest &r, PoolTracker &pool,
                                 const Context &context) {
  routing::PoolView view = pool.view({});
  std::optional<routing::Route> route =
      routing::chooseRoute(view, r.Shape, randomGenerator());
  double cost = admission::tokenCost(view.Speeds,
                                     static_cast<double>(r.Shape.PromptTokens),
                                     r.Shape.ExpectedOutputTokens);
  pool.recordDemand(context.Workspace, r.Shape.PromptTokens,
                    r.Shape.ExpectedOutputTokens, cost);
  admission::WorkspaceShare share = pool.shareOf(context.Workspace);
  admission::Decision d = admission::decide(
      route, Seconds(toSeconds(context.Deadline - context.Start)), share,
      randomGenerator());
  if (!d.accepted())
    logRejection(view, route, r);
  return d;
}

void Entry::recordOutcome(const ModelRequest &r, const Context &context,
                          const std::string &outcome) {
  auto size = static_cast<admission::RequestClass>(r.Priority);
  metrics::Labels labels = {{"model", r.Completion.Model},
                            {"class", std::string(toString(size))},
                            {"outcome", outcome}};
  Node.Metrics.count("sardineford_requests_total", labels);
  Node.Metrics.observe("sardineford_request_seconds", labels,
                       Seconds(toSeconds(MonoClock::now() - context.Start)));
  log::debug(log::Category::Entry, "request {} of workspace {}: {}", r.Id,
             context.Workspace, outcome);
}

Awaitable<void> Entry::handleCompletion(http::Request &request,
                                        http::ResponseWriter &out,
                                        const Context &context, bool isChat) {
  ModelRequest r = makeRequest(request, context, isChat);
  PoolTracker &pool = poolOf(r.Completion.Model);
  // A caller that resumes an interrupted stream has been admitted before.
  admission::Decision d =
      r.Resume ? admission::Decision() : admit(r, pool, context);
  if (!d.accepted()) {
    Node.Recorder.record(
        {.Kind = EventKind::RequestRefused, .Request = r.Id, .Detail = "no"});
    recordOutcome(r, context, "refused");
    Error e = rejectionError(d.Reason);
    unsigned status = d.Reason == admission::RejectionReason::ShareExceeded
                          ? http::StatusTooManyRequests
                          : http::StatusUnavailable;
    co_await out.send(http::problem(status, e, Executed::No, d.RetryAfter));
    co_return;
  }
  Node.Recorder.record({.Kind = EventKind::RequestAccepted, .Request = r.Id});
  co_await executeAdmitted(std::move(r), pool, out, context);
}

Awaitable<void> Entry::executeAdmitted(ModelRequest r, PoolTracker &pool,
                                       http::ResponseWriter &out,
                                       const Context &context) {
  CompletionWriter format(r.Completion, r.Id);
  EventSink events(format, out);
  BufferSink buffer;
  TokenSink &sink =
      r.Completion.Stream ? static_cast<TokenSink &>(events) : buffer;
  ModelCall call(Node, Engines, pool, r, sink);
  out.onPeerDisconnected([&call] { call.onCallerDisconnected(); });
  ModelOutcome outcome;
  try {
    outcome = co_await call.run();
  } catch (...) {
    call.onCallerDisconnected();
    recordOutcome(r, context, "caller-gone");
    throw;
  }
  Node.Recorder.record({.Kind = outcome.Complete ? EventKind::RequestDone
                                                 : EventKind::RequestFailed,
                        .Request = r.Id,
                        .Detail = outcome.Reason});
  recordOutcome(r, context, outcome.Complete ? "complete" : "failed");
  if (outcome.Complete)
    updateOutputRatio(r.Completion.Model, r.Completion.MaxTokens,
                      outcome.Tokens);
  Error e(ErrorKind::BackendFailed, outcome.Reason,
          "send the request again after the Retry-After time");
  if (r.Completion.Stream && out.started()) {
    // A separate variable, since GCC 12 destroys a temporary in this co_await
    // expression twice.
    std::string last =
        outcome.Complete ? format.end() : format.failure(e, outcome.Run);
    co_await out.write(std::move(last));
    co_await out.finish();
  } else if (!outcome.Complete) {
    co_await out.send(
        http::problem(504, e, outcome.Run, jittered(Milliseconds(1'000))));
  } else {
    co_await out.send(http::jsonResponse(
        200,
        format.document(buffer.Text, r.Shape.PromptTokens, outcome.Tokens)));
  }
}

} // namespace sardineford::entry
