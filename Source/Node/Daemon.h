#pragma once

#include "Node/SettingsFile.h"
#include "Sardineford/Common/Async.h"

#include <functional>
#include <string>

namespace sardineford::node {

/// Parses the command line and the settings file of a daemon and calls its
/// body, which sets up the daemon and calls run(). Returns the exit code.
int runDaemon(
    int argc, char **argv, const std::string &about,
    std::function<void(IoContext &, SettingsFile &, std::function<void()> run)>
        body);

} // namespace sardineford::node
