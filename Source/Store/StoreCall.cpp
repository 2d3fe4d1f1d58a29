#include "Sardineford/Store/StoreCall.h"

#include "Sardineford/Http/Status.h"

namespace sardineford::store {

namespace {

void requireSuccess(const http::Response &r, bool isWrite, CallCounts &counts) {
  if (r.Status < 400 || r.Status == http::StatusNotFound)
    return;
  if (r.Status == http::StatusConflict)
    throw StoreError(Failure::VersionConflict, "version conflict: " + r.Body);
  if (r.Status == http::StatusGone)
    throw StoreError(Failure::HistoryExpired, "the store's history is gone");
  ++counts.Failures;
  if (r.Status == http::StatusLimited)
    throw StoreError(Failure::RateLimited, "the store limits its rate");
  std::string what = "the store answered " + std::to_string(r.Status);
  bool noEffect = r.Status == http::StatusUnavailable || !isWrite;
  throw StoreError(noEffect ? Failure::Unavailable : Failure::Ambiguous, what);
}

} // namespace

Awaitable<http::Response> callStore(http::Client &client, http::Endpoint at,
                                    http::Request request,
                                    http::CallOptions options,
                                    CallCounts &counts) {
  bool isWrite = request.Method != "GET";
  try {
    http::Response r =
        co_await client.call(at, std::move(request), std::move(options));
    requireSuccess(r, isWrite, counts);
    co_return r;
  } catch (const http::TransportError &e) {
    ++counts.Failures;
    bool noEffect = !isWrite || e.Stage == http::TransportStage::NothingSent;
    throw StoreError(noEffect ? Failure::Unavailable : Failure::Ambiguous,
                     e.what());
  }
}

} // namespace sardineford::store
