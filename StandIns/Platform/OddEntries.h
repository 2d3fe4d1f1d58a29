#pragma once

#include <string>
#include <vector>

namespace sardineford::standins {

/// JSON texts of entries of backend servers that another writer may leave and
/// that name no server to use. Brackets and quotes are balanced in each of
/// them.
const std::vector<std::string> &oddServerEntries();

} // namespace sardineford::standins
