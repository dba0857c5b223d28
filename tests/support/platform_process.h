/** @file platform_process.h  Starts the programs of the platform with settings like the platform's. */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "support/process_fleet.h"

namespace Chestnuthook::Testing
{

/** What one process is told at its start. */
struct PlatformInstance
{
    std::string program; ///< gateway, deployment or history.
    std::string name; ///< Unique in the deployment.
    std::string ip; ///< Its own loopback address.
    std::string listen; ///< Members of the JSON object of the ports that it serves.
    unsigned short inner = 0; ///< Port for the other daemons, the same at each address.
    std::vector<std::string> seeds; ///< Control members as ip:port.
    std::string platform; ///< Where the list of endpoints is.
    unsigned toleratedFailures = 0; ///< Instances with a disk that may be lost at once.
    bool isBootstrap = false; ///< Of the whole deployment.
};

/** Starts it; settings, log and data are in @p folder under its program (`log`) and name. */
[[nodiscard]] std::unique_ptr<ChildProcess> startInstance(const PlatformInstance &instance, const std::string &folder);

} // namespace Chestnuthook::Testing
