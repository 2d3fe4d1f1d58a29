#pragma once

#include <map>
#include <string>

namespace sardineford::standins {

/// Writes a copy of an objects file for engines whose time is scaled down, with
/// fields of its engine pools replaced. Values are JSON text.
void writeScaledObjects(const std::string &from, const std::string &to,
                        double timeScale,
                        const std::map<std::string, std::string> &poolFields);

} // namespace sardineford::standins
