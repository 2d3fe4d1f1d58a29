#include "Sardineford/Common/Async.h"

#include "Sardineford/Common/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardineford {

namespace asio = boost::asio;

Awaitable<void> sleepFor(MonoClock::duration d) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(d);
  co_await timer.async_wait(asio::use_awaitable);
}

namespace {

Awaitable<void> runNamed(std::string name,
                         std::function<Awaitable<void>()> body) {
  try {
    co_await body();
  } catch (const std::exception &e) {
    log::error(log::Category::Common, "task {} ended with an exception: {}",
               name, e.what());
  }
}

} // namespace

void spawn(IoContext &io, std::string name,
           std::function<Awaitable<void>()> body) {
  asio::co_spawn(io, runNamed(std::move(name), std::move(body)),
                 asio::detached);
}

} // namespace sardineford
