#pragma once

#include "Sardineford/Fleet/Directory.h"
#include "Sardineford/Store/ObjectStore.h"

#include <optional>

namespace sardineford::fleet {

/// Turns objects of the platform's store into the types of this slice. The
/// platform's adapter implements it.
class FleetCodec {
public:
  virtual ~FleetCodec() = default;

  /// Kind and name of the object that holds the newest configuration.
  virtual std::string configurationKind() const = 0;
  virtual std::string configurationName() const = 0;
  /// Kind of the objects that backend servers write of themselves.
  virtual std::string serverKind() const = 0;

  /// Empty when the object is not a configuration; the reason is logged.
  virtual std::optional<Configuration>
  decodeConfiguration(const store::Object &o) const = 0;
  /// Empty when the object names no server to use; the reason is logged.
  virtual std::optional<ServerEntry>
  decodeServer(const store::Object &o) const = 0;
};

} // namespace sardineford::fleet
