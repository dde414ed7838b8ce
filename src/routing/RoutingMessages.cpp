#include "routing/RoutingMessages.h"

#include <iomanip>
#include <sstream>

namespace Carawaymill {

static void describeStage(std::ostream &stream, const StageDecision &decision)
{
    const auto &[target, layers] = decision.stage;
    stream << ' ' << target << '[' << layers.first << ',' << layers.end << ") " << decision.seconds << " s";
    if (decision.cachedPrefixTokens.value() > 0) {
        stream << " cached " << decision.cachedPrefixTokens;
    }
    if (decision.openLayers > 0) {
        stream << " open " << decision.openLayers;
    }
    if (!decision.alternatives.empty()) {
        stream << " (not";
        for (const RoutingAlternative &alternative : decision.alternatives) {
            stream << ' ' << alternative.target << ' ' << alternative.seconds << " s";
        }
        stream << ')';
    }
}

std::string describe(const RoutingDecision &decision)
{
    std::ostringstream stream;
    stream << std::setprecision(3) << "Routing: job " << decision.job << " model " << decision.model
           << (decision.replacement ? " repair" : " chain");
    for (const StageDecision &stage : decision.stages) {
        describeStage(stream, stage);
    }
    stream << " total " << decision.seconds << " s of " << decision.candidates << " candidates.";
    return stream.str();
}

std::string describe(const NoChainForModel &failure)
{
    std::ostringstream stream;
    stream << "Routing: no usable target holds layer " << failure.firstUncoveredLayer << " of model " << failure.model
           << " version '" << failure.version << "' adapter '" << failure.adapter << "'.";
    return stream.str();
}

} // namespace Carawaymill
