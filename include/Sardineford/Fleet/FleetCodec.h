#pragma once

#include "Sardineford/Fleet/Directory.h"
#include "Sardineford/Store/ObjectStore.h"

#include <optional>

namespace sardineford::fleet {

/// Decodes objects of the platform's store into fleet types. Implemented by the
/// platform adapter.
class FleetCodec {
public:
  virtual ~FleetCodec() = default;

  /// Kind and name of the object that holds the current configuration.
  virtual std::string configurationKind() const = 0;
  virtual std::string configurationName() const = 0;
  /// Kind of the objects with which backend servers register themselves.
  virtual std::string serverKind() const = 0;

  /// Returns nullopt and logs the reason if the object is not a valid
  /// configuration.
  virtual std::optional<Configuration>
  decodeConfiguration(const store::Object &o) const = 0;
  /// Returns the object of a configuration as it is sent to peers: with digests
  /// in place of the workspaces' keys.
  virtual store::Object withoutKeys(store::Object o) const = 0;
  /// Returns nullopt and logs the reason if the object does not describe a
  /// usable server.
  virtual std::optional<ServerEntry>
  decodeServer(const store::Object &o) const = 0;
};

} // namespace sardineford::fleet
