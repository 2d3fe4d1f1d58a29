#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "Sardineford/Common/Log.h"

namespace {

/// Disables logging: the tests provoke many errors, and their log lines would
/// bury the test results.
[[maybe_unused]] const bool Quiet = sardineford::log::setLevel("all", "off");

} // namespace
