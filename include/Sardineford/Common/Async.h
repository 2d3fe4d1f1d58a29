#pragma once

#include "Sardineford/Common/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace sardineford {

template <class T> using Awaitable = boost::asio::awaitable<T>;
using IoContext = boost::asio::io_context;

/// Suspends the calling coroutine for the duration.
Awaitable<void> sleepFor(MonoClock::duration d);

/// Starts a detached coroutine. An exception that leaves the coroutine is
/// logged with the name and ends that coroutine only.
void spawn(IoContext &io, std::string name,
           std::function<Awaitable<void>()> body);

} // namespace sardineford
