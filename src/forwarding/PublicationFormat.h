#pragma once

#include "forwarding/DirectoryTarget.h"
#include "forwarding/RoutingConfiguration.h"
#include "support/Codec.h"

#include <functional>
#include <string>

namespace Carawaymill {

/// Keys and decoders of the records that a platform's operators and targets write to the key-value service.
struct PublicationFormat
{
    /// Key of the configuration in force.
    std::string configurationKey;
    /// The key of a target's record is this prefix followed by the target's id.
    std::string directoryPrefix;
    std::function<Result<RoutingConfiguration, DecodeFailure>(const std::string &value)> readConfiguration;
    std::function<Result<DirectoryTarget, DecodeFailure>(const TargetId &id, const std::string &value)> readTarget;
};

} // namespace Carawaymill
