#pragma once

#include <map>
#include <string>

namespace sardineford::standins {

/// Writes a copy of an objects file with the speeds of its engine pools scaled
/// by timeScale and the given pool fields replaced. Values are JSON text.
void writeScaledObjects(const std::string &from, const std::string &to,
                        double timeScale,
                        const std::map<std::string, std::string> &poolFields);

} // namespace sardineford::standins
