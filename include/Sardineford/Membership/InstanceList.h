#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Http/Message.h"

#include <string>
#include <vector>

namespace sardineford::membership {

enum class InstanceKind { Entry, Controller, Engine, Service };
enum class InstanceState { Live, Leaving, Gone };

/// Entry of the platform's list of instances.
struct Instance {
  std::string Name;
  InstanceKind Kind = InstanceKind::Engine;
  /// Pool of an engine, or name of a service.
  std::string Group;
  http::Endpoint Address;
  std::string FailureDomain;
  InstanceState State = InstanceState::Live;
};

/// The platform's list of live and leaving instances. The list may be stale.
class InstanceList {
public:
  virtual ~InstanceList() = default;

  /// Throws store::StoreError or Error if the list cannot be read.
  virtual Awaitable<std::vector<Instance>> read() = 0;
};

std::string_view toString(InstanceKind k);

} // namespace sardineford::membership
