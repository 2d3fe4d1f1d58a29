#pragma once

#include "Sardineford/Http/Client.h"
#include "Sardineford/Store/ObjectStore.h"

namespace sardineford::store {

/// Sends one call of a store that speaks HTTP. The answer is a success or says
/// that there is no such object; anything else is thrown as StoreError, and
/// counted when the store failed.
Awaitable<http::Response> callStore(http::Client &client, http::Endpoint at,
                                    http::Request request,
                                    http::CallOptions options,
                                    CallCounts &counts);

} // namespace sardineford::store
