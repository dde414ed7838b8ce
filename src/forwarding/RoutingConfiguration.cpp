#include "forwarding/RoutingConfiguration.h"

namespace Carawaymill {

const EngineProfile *engineProfile(const SharedConfiguration &configuration, const ServiceId &service)
{
    if (!configuration) {
        return nullptr;
    }
    const auto found = configuration->services.find(service);
    return found != configuration->services.end() && found->second.engine ? &*found->second.engine : nullptr;
}

} // namespace Carawaymill
