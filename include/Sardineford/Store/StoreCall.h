#pragma once

#include "Sardineford/Http/Client.h"
#include "Sardineford/Store/ObjectStore.h"

namespace sardineford::store {

/// Sends one HTTP request to a store. Returns the response if the call
/// succeeded or the object does not exist. Otherwise throws StoreError, and
/// increments CallCounts::Failures if the store failed.
Awaitable<http::Response>
callStore(http::Client &client, http::Endpoint endpoint, http::Request request,
          http::CallOptions options, CallCounts &counts);

} // namespace sardineford::store
