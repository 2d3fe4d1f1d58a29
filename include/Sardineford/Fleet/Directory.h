#pragma once

#include "Sardineford/Fleet/Configuration.h"
#include "Sardineford/Fleet/Health.h"
#include "Sardineford/Fleet/PartCache.h"
#include "Sardineford/Fleet/WorkInFlight.h"
#include "Sardineford/Http/Message.h"
#include "Sardineford/Routing/View.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sardineford::fleet {

/// What a backend server says of itself in the platform's store.
struct ServerEntry {
  std::string Id;
  std::string Service;
  http::Endpoint Address;
  std::string FailureDomain;
  unsigned Slots = 1;
  bool Draining = false;
  /// Of engines only: which phase it does.
  std::optional<routing::EngineRole> Role;
  /// Time of its start, by its own clock. Tells two runs under one id apart.
  int64_t StartedMs = 0;

  bool operator==(const ServerEntry &) const = default;
};

/// One run of a backend server and what this process knows of it.
struct Server {
  ServerEntry Entry;
  PassiveHealth Health;
  WorkInFlight LocalWork;
  /// Sum of what the other processes told.
  WorkInFlight PeerWork;
  /// Observed time against the estimate of its service, 1 when as expected.
  double Slowness = 1;
  /// Leaving or gone; takes no new request any more.
  bool Leaving = false;
  /// Prompt parts that are cached there, as far as is known.
  PartCache CachedParts;

  /// Prompt tokens of all processes that go before new work of a rank.
  double tokensAhead(WorkPriority r) const {
    return std::max(0.0, LocalWork.tokensAhead(r) + PeerWork.tokensAhead(r));
  }
  unsigned requests() const { return LocalWork.Requests + PeerWork.Requests; }
};

using ServerPtr = std::shared_ptr<Server>;

/// All backend servers known to this process. A run of a server that said that
/// it leaves is never taken up again. One whose entry went missing may have
/// been cut off from the store only: when its entry is back, it is taken up
/// again after the server itself says that it is sound.
class Directory {
public:
  /// Called with what changed, for the log.
  using Listener = std::function<void(const Server &, std::string_view change)>;

  explicit Directory(Listener listener) : Changed(std::move(listener)) {}
  /// Called when the entry of a server that went missing is back.
  void onReappearance(std::function<void(const ServerEntry &)> f) {
    Returned = std::move(f);
  }
  /// The server says that it is sound and does not leave. Returns false when
  /// its entry has changed or gone meanwhile.
  bool readmit(const ServerEntry &entry);
  /// The entry is back as it was given, and not yet taken up again.
  bool awaitsReadmission(const ServerEntry &entry) const;

  /// Takes over the newest entry of a server.
  void put(const ServerEntry &entry);
  /// The entry names no server any more. While the store has been away, an
  /// entry may have lapsed although its server lives: such an absence counts
  /// from the end of the doubt on only.
  void remove(const std::string &id, MonoTime doubtUntil, MonoTime now);
  /// Takes over a whole list; servers that are not on it are missing.
  void replaceAll(const std::vector<ServerEntry> &entries, MonoTime doubtUntil,
                  MonoTime now);
  /// Drops servers that are still missing at the end of the doubt.
  void removeMissing(MonoTime now);
  /// The server itself, or another process, says that it takes no work.
  void markLeaving(const std::string &id, int64_t startedMs,
                   std::string_view why);
  /// Another server answers at the address.
  void removePermanently(const ServerPtr &server, std::string_view why);

  const std::vector<ServerPtr> &ofService(const std::string &service) const;
  ServerPtr find(const std::string &id) const;
  size_t size() const { return ById.size(); }
  template <class F> void forEach(F f) {
    for (auto &[id, server] : ById)
      f(*server);
  }
  /// A list was taken over at least once.
  bool isLoaded() const { return Known; }

private:
  /// Why a run of a server is not taken up any more.
  struct Departure {
    int64_t StartedMs = 0;
    /// Its entry went missing; it has not said that it leaves.
    bool WentMissing = false;
  };

  void drop(const std::string &id, std::string_view why, bool wentMissing);
  void noteReturn(const ServerEntry &entry, Departure &departure);
  void rebuild();

  Listener Changed;
  std::map<std::string, ServerPtr> ById;
  std::map<std::string, std::vector<ServerPtr>> ByService;
  std::function<void(const ServerEntry &)> Returned;
  std::map<std::string, Departure> Left;
  /// Entries that are back and not yet taken up again.
  std::map<std::string, ServerEntry> Returning;
  /// Missing servers and the time at which they count as gone.
  std::map<std::string, MonoTime> Missing;
  bool Known = false;
};

} // namespace sardineford::fleet
