#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>

namespace sardineford::peers {

constexpr Milliseconds HandoverInterval{20};
/// Limits of one turn of the event loop.
constexpr size_t ComparedAtOnce = 64;
constexpr size_t JoinedAtOnce = 4;
constexpr size_t HandoversAtOnce = 32;
/// Each process gets its newest records before another gets older ones.
constexpr size_t RecordsPerHandover = 16;

} // namespace sardineford::peers
