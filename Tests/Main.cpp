#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "Sardineford/Common/Log.h"

namespace {

/// The tests provoke many faults; their log lines would hide the results.
[[maybe_unused]] const bool Quiet = sardineford::log::setLevel("all", "off");

} // namespace
