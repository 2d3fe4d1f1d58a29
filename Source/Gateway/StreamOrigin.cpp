#include "Gateway/StreamOrigin.h"

#include "Gateway/Stream.h"
#include "Sardineford/Common/Log.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace sardineford::gateway {

namespace {

/// The watch calls of the processes end more often than this.
constexpr Milliseconds MaxConfirmationInterval{2'000};

} // namespace

bool isOutageLikely(Milliseconds viewAge) {
  return viewAge > MaxConfirmationInterval;
}

peers::VersionView versionViewOf(const std::set<std::string> &versions,
                                 bool sharesStreams, Milliseconds age) {
  peers::VersionView out{.Age = age};
  if (versions.size() == 1 && !sharesStreams)
    out.OnlyVersion = peers::hashOfVersion(*versions.begin());
  return out;
}

namespace {

/// Returns whether the stream can have begun at one version alone.
bool hasOnlyVersion(const TakeUpEvidence &evidence) {
  bool isOnlyKnown = evidence.Versions.size() == 1 && evidence.IsHistoryKnown &&
                     !evidence.HasOtherServices;
  if (!isOnlyKnown || !evidence.MayHavePeers)
    return isOnlyKnown;
  return peers::isOnlyVersion(
      versionViewOf(evidence.Versions, false, evidence.ViewAge),
      evidence.PeerViews);
}

} // namespace

bool mayBeOutOfDate(const TakeUpEvidence &evidence) {
  TakeUpEvidence confirmed = evidence;
  confirmed.ViewAge = Milliseconds(0);
  return !evidence.Found && !hasOnlyVersion(evidence) &&
         hasOnlyVersion(confirmed);
}

std::optional<std::string> chooseTakeUpVersion(const TakeUpEvidence &evidence) {
  const std::set<std::string> &versions = evidence.Versions;
  if (!evidence.Found)
    return hasOnlyVersion(evidence) ? std::make_optional(*versions.begin())
                                    : std::nullopt;
  auto it =
      std::find_if(versions.begin(), versions.end(), [&](const std::string &v) {
        return peers::hashOfVersion(v) == *evidence.Found;
      });
  return it == versions.end() ? std::nullopt : std::make_optional(*it);
}

namespace {

/// A store that is not overloaded answers a read within this time.
constexpr Milliseconds ConfirmationTimeout{150};

/// What the processes know of the begin of a stream.
struct OriginSearch {
  peers::FoundOrigin Origin;
  /// Services at which it can have begun.
  std::set<std::string> Services;
  /// It began at a service that is no target of the route any more.
  bool IsFormerService = false;
};

/// Looks for the stream at every service where it can have begun, and continues
/// the request at the one that knows it.
Awaitable<OriginSearch> findAtServices(SharedState &shared,
                                       RequestContext &context) {
  OriginSearch out;
  out.Services = shared.Watch.routeHistory().services(context.Route->Name,
                                                      MonoClock::now());
  // The request's route may be of an earlier configuration.
  for (const fleet::Target &it : context.Route->Targets)
    out.Services.insert(it.Service);
  for (const std::string &it : out.Services) {
    out.Origin = co_await shared.Origins.find(it, context.Request.StreamId);
    if (!out.Origin.Version)
      continue;
    const std::vector<fleet::Target> &targets = context.Route->Targets;
    out.IsFormerService =
        std::none_of(targets.begin(), targets.end(),
                     [&](const auto &t) { return t.Service == it; });
    if (!out.IsFormerService)
      context.Service = it;
    break;
  }
  co_return out;
}

TakeUpEvidence collectEvidence(SharedState &shared,
                               const RequestContext &context,
                               const OriginSearch &search) {
  TakeUpEvidence out;
  out.Versions =
      shared.Servers.softwareVersions(context.Service, MonoClock::now());
  if (!search.IsFormerService)
    out.Found = search.Origin.Version;
  out.IsHistoryKnown = shared.Servers.isVersionHistoryKnown();
  out.HasOtherServices = search.Services.size() > 1;
  out.MayHavePeers = shared.Processes != 1;
  out.ViewAge = shared.Watch.serversAge();
  out.PeerViews = search.Origin.PeerViews;
  return out;
}

/// Returns the age of the newest view of a peer; -1 ms if none has told it.
Milliseconds newestPeerView(const TakeUpEvidence &evidence) {
  auto it = std::min_element(
      evidence.PeerViews.begin(), evidence.PeerViews.end(),
      [](const auto &a, const auto &b) { return a.Age < b.Age; });
  bool isTold =
      it != evidence.PeerViews.end() && it->Age != Milliseconds::max();
  return isTold ? it->Age : Milliseconds(-1);
}

void logOrigin(const RequestContext &context, const StreamProgress &progress,
               const OriginSearch &search, const TakeUpEvidence &evidence,
               std::string_view outcome) {
  std::string version = progress.Filter.SoftwareVersion.value_or("");
  log::event(
      log::Category::Gateway, log::Level::Info, "stream_taken_up",
      {{"request", context.Request.Id},
       {"stream", context.Request.StreamId},
       {"service", context.Service},
       {"resume_after", context.Request.ResumeAfter.value_or(0)},
       {"versions", fmt::format("{}", fmt::join(evidence.Versions, ","))},
       {"software_version", version},
       {"found", evidence.Found.has_value()},
       {"history_known", evidence.IsHistoryKnown},
       {"not_known", search.Origin.NotKnown},
       {"silent", search.Origin.Silent},
       {"told", evidence.PeerViews.size()},
       {"servers_age_ms", evidence.ViewAge.count()},
       {"peers_age_ms", newestPeerView(evidence).count()},
       {"outcome", outcome}});
}

} // namespace

Awaitable<bool> findStreamOrigin(SharedState &shared, RequestContext &context,
                                 StreamProgress &progress) {
  if (!context.Route->Resumable || !context.Request.ResumeAfter)
    co_return true;
  OriginSearch search = co_await findAtServices(shared, context);
  TakeUpEvidence evidence = collectEvidence(shared, context, search);
  if (mayBeOutOfDate(evidence)) {
    co_await shared.Watch.confirmServers(ConfirmationTimeout);
    evidence = collectEvidence(shared, context, search);
  }
  progress.Filter.SoftwareVersion = chooseTakeUpVersion(evidence);
  bool goesOn = progress.Filter.SoftwareVersion.has_value();
  logOrigin(context, progress, search, evidence,
            goesOn ? "goes on" : "rejected");
  if (!goesOn) {
    progress.LastCause = FailureCause::VersionUnknown;
    progress.LastDetail =
        search.Origin.Version
            ? "no server has the software version that began the stream"
            : "the software version that began the stream is not known";
  }
  co_return goesOn;
}

void recordStreamOrigin(SharedState &shared, const RequestContext &context,
                        const fleet::Server &server) {
  if (!context.Route->Resumable)
    return;
  size_t versions =
      shared.Servers.softwareVersions(context.Service, MonoClock::now()).size();
  bool isAmbiguous = versions > 1 || context.Route->Targets.size() > 1 ||
                     isOutageLikely(shared.Watch.serversAge()) ||
                     shared.Watch.routeHistory().sharesStreams(
                         context.Service, MonoClock::now());
  shared.Origins.record(context.Service, context.Request.StreamId,
                        server.Entry.SoftwareVersion, isAmbiguous);
}

} // namespace sardineford::gateway
