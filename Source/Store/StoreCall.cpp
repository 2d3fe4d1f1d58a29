#include "Sardineford/Store/StoreCall.h"

#include "Sardineford/Http/Status.h"

namespace sardineford::store {

namespace {

void requireSuccess(const http::Response &response, bool isWrite,
                    CallCounts &counts) {
  if (response.Status < 400 || response.Status == http::StatusNotFound)
    return;
  if (response.Status == http::StatusConflict)
    throw StoreError(Failure::VersionConflict,
                     "version conflict: " + response.Body);
  if (response.Status == http::StatusGone)
    throw StoreError(Failure::HistoryExpired,
                     "the store no longer keeps the changes after the "
                     "revision");
  ++counts.Failures;
  if (response.Status == http::StatusTooManyRequests)
    throw StoreError(Failure::RateLimited,
                     "the store rejected the call: rate limit reached");
  std::string message =
      "the store responded with status " + std::to_string(response.Status);
  bool noEffect = response.Status == http::StatusUnavailable || !isWrite;
  throw StoreError(noEffect ? Failure::Unavailable : Failure::Ambiguous,
                   message);
}

} // namespace

Awaitable<http::Response>
callStore(http::Client &client, http::Endpoint endpoint, http::Request request,
          http::CallOptions options, CallCounts &counts) {
  bool isWrite = request.Method != "GET";
  try {
    http::Response response =
        co_await client.call(endpoint, std::move(request), std::move(options));
    requireSuccess(response, isWrite, counts);
    co_return response;
  } catch (const http::TransportError &e) {
    ++counts.Failures;
    bool noEffect = !isWrite || e.Stage == http::TransportStage::NothingSent;
    StoreError error(noEffect ? Failure::Unavailable : Failure::Ambiguous,
                     e.what());
    error.ConnectionEnded =
        e.Stage == http::TransportStage::Sent && !e.TimedOut && !e.Malformed;
    throw error;
  }
}

} // namespace sardineford::store
