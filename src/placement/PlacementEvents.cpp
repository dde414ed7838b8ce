#include "placement/PlacementEvents.h"

#include <sstream>

namespace Carawaymill {

static std::ostream &operator<<(std::ostream &stream, const ModelLayers &layers)
{
    stream << layers.model << '@' << layers.version;
    if (!layers.adapter.empty()) {
        stream << '+' << layers.adapter;
    }
    return stream << '[' << layers.layers.first << ',' << layers.layers.end << ')';
}

static void describeRanges(std::ostream &stream, const char *verb, const std::vector<ModelLayers> &ranges)
{
    for (const ModelLayers &layers : ranges) {
        stream << ' ' << verb << ' ' << layers;
    }
}

std::string describe(const SendEngineOrder &send)
{
    std::ostringstream stream;
    stream << "Placement: scope " << send.order.scope << " order " << send.order.fencingNumber << '.'
           << send.order.number << " to " << send.order.target;
    describeRanges(stream, "unload", send.order.unloads);
    describeRanges(stream, "load", send.order.loads);
    stream << ": " << describe(send.reason) << '.';
    return stream.str();
}

std::string describe(const PlanChanged &changed)
{
    std::ostringstream stream;
    stream << "Placement: scope " << changed.scope << " number " << changed.fencingNumber << " plan changes "
           << changed.changes.size() << " targets:";
    for (const PlannedChange &change : changed.changes) {
        stream << ' ' << change.target << ' ';
        if (change.before) {
            stream << *change.before << "->";
        }
        if (change.after) {
            stream << *change.after;
        } else {
            stream << "nothing";
        }
    }
    stream << "; bound";
    for (const double bound : changed.throughputBounds) {
        stream << ' ' << bound;
    }
    stream << " tokens/s.";
    return stream.str();
}

std::string describe(const HolderSuperseded &superseded)
{
    std::ostringstream stream;
    stream << "Placement: scope " << superseded.scope << " given up, " << superseded.target << " has seen number "
           << superseded.seenNumber << " above ours, " << superseded.ownNumber << '.';
    return stream.str();
}

} // namespace Carawaymill
