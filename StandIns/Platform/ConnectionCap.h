#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Http/Message.h"

namespace sardineford::standins {

/// Forwards connections to a backend server and resets those beyond a maximum,
/// as servers of the platform do. Does not return.
Awaitable<void> capConnections(IoContext &io, http::Endpoint listen,
                               http::Endpoint target, size_t maxConnections);

} // namespace sardineford::standins
