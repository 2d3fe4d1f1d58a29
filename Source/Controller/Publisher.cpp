#include "Controller/Publisher.h"

#include "Controller/ControllerSettings.h"
#include "Node/NodeSettings.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Store/Write.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardineford::controller {

namespace {

constexpr const char *LeaseKind = "PublisherLease";
constexpr const char *LeaseName = "publisher";
/// Edits within this time are published together.
constexpr Milliseconds BatchDelay{30};
constexpr Milliseconds InitialRetryDelay{50};
constexpr Milliseconds MaxRetryDelay{2'000};
/// Checks all objects at this interval even if no watch reports an edit.
constexpr Milliseconds FullCheckInterval{5'000};

} // namespace

Publisher::Publisher(node::Node &node)
    : Node(node), Lease(node, LeaseKind, LeaseName), EditTimer(node.Io) {}

void Publisher::start() {
  spawn(Node.Io, "publisher-lease", [this] { return leaseLoop(); });
  spawn(Node.Io, "publisher", [this] { return publishLoop(); });
  for (const std::string &it : config::objectKinds())
    spawn(Node.Io, "watch-" + it, [this, it] { return watchKind(it); });
}

Awaitable<void> Publisher::leaseLoop() {
  for (;;) {
    bool wasHolder = Lease.isLastHolder();
    co_await Lease.tick();
    if (!wasHolder && Lease.isLastHolder()) {
      HasUnpublishedEdits = true;
      EditTimer.cancel();
    }
    co_await sleepFor(Lease.tickInterval());
  }
}

Awaitable<void> Publisher::watchKind(std::string kind) {
  store::Backoff backoff(InitialRetryDelay, MaxRetryDelay);
  uint64_t revision = 0;
  for (;;) {
    if (!Lease.isLastHolder()) {
      revision = 0;
      co_await sleepFor(Node.Options.milliseconds(ObserveInterval));
      continue;
    }
    bool failed = false;
    try {
      store::Changes changes = co_await Node.Store.watch(
          kind, revision, Node.Options.milliseconds(node::WatchTimeout));
      revision = changes.Revision;
      backoff.reset();
      if (!changes.Objects.empty()) {
        HasUnpublishedEdits = true;
        EditTimer.cancel();
      }
    } catch (const Error &e) {
      log::debug(log::Category::Config, "watch of {} objects failed: {}", kind,
                 e.what());
      failed = true;
    }
    if (failed)
      co_await sleepFor(backoff.next());
  }
}

Awaitable<void> Publisher::publishLoop() {
  for (;;) {
    if (!Lease.mayAct()) {
      co_await sleepFor(Node.Options.milliseconds(ObserveInterval));
      continue;
    }
    if (!HasUnpublishedEdits) {
      EditTimer.expires_after(FullCheckInterval);
      co_await EditTimer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    co_await sleepFor(BatchDelay);
    if (Lease.mayAct())
      co_await publishNow();
  }
}

Awaitable<void> Publisher::publishNow() {
  HasUnpublishedEdits = false;
  try {
    config::PublishResult r = co_await config::publish(Node.Store);
    for (const config::ValidationError &it : r.Errors)
      log::warn(log::Category::Config, "configuration not published: {}",
                toString(it));
    if (!r.Published)
      co_return;
    log::info(log::Category::Config, "published generation {}", r.Generation);
    Node.Recorder.record({.Kind = timeline::EventKind::GenerationPublished,
                          .Generation = r.Generation});
    config::Delta d = co_await config::readNewestGeneration(Node.Store);
    Node.Exchange.applyGeneration(d);
    co_return;
  } catch (const Error &e) {
    log::warn(log::Category::Config, "publishing a generation failed: {}",
              e.what());
    HasUnpublishedEdits = true;
  }
  co_await sleepFor(jittered(MaxRetryDelay));
}

} // namespace sardineford::controller
