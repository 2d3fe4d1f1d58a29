#pragma once

#include "Sardineford/Config/Objects.h"
#include "Sardineford/Routing/View.h"

namespace sardineford::routing {

/// Returns the configured speeds of a pool's engines; speeds without a setting
/// keep their defaults.
EngineSpeeds speedsOf(const config::EnginePoolSpec &spec);

} // namespace sardineford::routing
