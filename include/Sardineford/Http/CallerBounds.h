#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sardineford::http {

/// Size of the instance that a process runs on; 0 where it is not known.
struct InstanceSize {
  uint64_t MemoryBytes = 0;
  uint64_t Descriptors = 0;
};

/// Bytes of a body or response that each connection may hold outside the
/// budget, so that an ordinary request is admitted when the budget is used up.
inline constexpr size_t ConnectionReserveBytes = size_t{8} * 1024;

/// Returns the memory for bodies and unread responses of callers. 0 configured:
/// a part of the instance's memory; nothing if that is not known either.
std::optional<size_t> callerMemoryLimit(uint64_t configured,
                                        InstanceSize instance);

/// Returns the number of connections of callers. 0 configured: as many as
/// descriptors and memory of the instance allow; nothing if they are not known
/// either.
std::optional<size_t> callerConnectionLimit(uint64_t configured,
                                            InstanceSize instance);

/// Returns the capacity of a body's memory when it must hold `needed` bytes.
/// Grows by half, which bounds the unused part, and not beyond the announced
/// length (0: not announced).
size_t nextBodyCapacity(size_t capacity, size_t needed, size_t announced);

/// What a connection is used for, in the order in which connections are closed
/// when there are too many.
enum class ConnectionUse { Closing, Idle, Receiving, Serving };

struct ConnectionState {
  ConnectionUse Use = ConnectionUse::Idle;
  MonoTime Since{};
};

/// Returns the index of the connection to close for a new one: of the first use
/// that occurs, the one with the longest use. Connections whose request is
/// being served are kept.
std::optional<size_t>
chooseConnectionToClose(const std::vector<ConnectionState> &all);

} // namespace sardineford::http
