#pragma once

#include "Node/SettingsFile.h"
#include "Sardineford/Common/Async.h"

#include <functional>
#include <string>

namespace sardineford::node {

/// Reads the command line of a daemon, its settings and runs it. Returns the
/// exit code.
int runDaemon(
    int argc, char **argv, const std::string &about,
    std::function<void(IoContext &, SettingsFile &, std::function<void()> run)>
        body);

} // namespace sardineford::node
