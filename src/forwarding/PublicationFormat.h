#pragma once

#include "forwarding/DirectoryTarget.h"
#include "forwarding/RoutingConfiguration.h"
#include "support/Codec.h"

#include <functional>
#include <string>

namespace Carawaymill {

/// How a platform writes down what its operators and its targets publish in the key-value service.
struct PublicationFormat
{
    /// Record of the configuration in force.
    std::string configurationKey;
    /// Every target's record begins with this, followed by the target's id.
    std::string directoryPrefix;
    std::function<Result<RoutingConfiguration, DecodeFailure>(const std::string &value)> readConfiguration;
    std::function<Result<DirectoryTarget, DecodeFailure>(const TargetId &id, const std::string &value)> readTarget;
};

} // namespace Carawaymill
