#pragma once

#include "Sardineford/Config/Objects.h"
#include "Sardineford/Routing/View.h"

namespace sardineford::routing {

/// Speeds of a pool's engines, from its configuration.
EngineSpeeds speedsOf(const config::EnginePoolSpec &spec);

} // namespace sardineford::routing
