#include "Gateway/StreamOrigin.h"

#include "Gateway/Stream.h"
#include "Sardineford/Common/Log.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace sardineford::gateway {

std::optional<std::string> chooseTakeUpVersion(const TakeUpEvidence &evidence) {
  const std::set<std::string> &versions = evidence.Versions;
  if (!evidence.Found) {
    bool isOnlyOne = versions.size() == 1 && evidence.IsHistoryKnown &&
                     !evidence.PeersKnowSeveral && !evidence.HasOtherServices;
    return isOnlyOne ? std::make_optional(*versions.begin()) : std::nullopt;
  }
  auto it =
      std::find_if(versions.begin(), versions.end(), [&](const std::string &v) {
        return peers::hashOfVersion(v) == *evidence.Found;
      });
  return it == versions.end() ? std::nullopt : std::make_optional(*it);
}

namespace {

/// Looks for the stream at every service of the route, and continues the
/// request at the one that knows it.
Awaitable<peers::FoundOrigin> findAtServices(SharedState &shared,
                                             RequestContext &context) {
  peers::FoundOrigin found;
  for (const fleet::Target &it : context.Route->Targets) {
    bool peersKnowSeveral = found.PeersKnowSeveral;
    found = co_await shared.Origins.find(it.Service, context.Request.StreamId);
    found.PeersKnowSeveral = found.PeersKnowSeveral || peersKnowSeveral;
    if (!found.Version)
      continue;
    context.Service = it.Service;
    break;
  }
  co_return found;
}

TakeUpEvidence collectEvidence(SharedState &shared,
                               const RequestContext &context,
                               const peers::FoundOrigin &found) {
  MonoTime now = MonoClock::now();
  TakeUpEvidence out;
  out.Versions = shared.Servers.softwareVersions(context.Service, now);
  out.Found = found.Version;
  out.IsHistoryKnown = shared.Servers.isVersionHistoryKnown();
  out.PeersKnowSeveral = found.PeersKnowSeveral;
  out.HasOtherServices = context.Route->Targets.size() > 1;
  return out;
}

void logOrigin(const RequestContext &context, const StreamProgress &progress,
               const peers::FoundOrigin &found, const TakeUpEvidence &evidence,
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
       {"not_known", found.NotKnown},
       {"silent", found.Silent},
       {"outcome", outcome}});
}

} // namespace

Awaitable<bool> findStreamOrigin(SharedState &shared, RequestContext &context,
                                 StreamProgress &progress) {
  if (!context.Route->Resumable || !context.Request.ResumeAfter)
    co_return true;
  peers::FoundOrigin found = co_await findAtServices(shared, context);
  TakeUpEvidence evidence = collectEvidence(shared, context, found);
  progress.Filter.SoftwareVersion = chooseTakeUpVersion(evidence);
  bool goesOn = progress.Filter.SoftwareVersion.has_value();
  logOrigin(context, progress, found, evidence,
            goesOn ? "goes on" : "rejected");
  if (!goesOn) {
    progress.LastCause = FailureCause::VersionUnknown;
    progress.LastDetail =
        found.Version
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
  bool isAmbiguous = versions > 1 || context.Route->Targets.size() > 1;
  shared.Origins.record(context.Service, context.Request.StreamId,
                        server.Entry.SoftwareVersion, isAmbiguous);
}

} // namespace sardineford::gateway
