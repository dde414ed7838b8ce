#include "forwarding/CallAdmission.h"

namespace Carawaymill {

std::optional<ForwardFailure> admitCall(const RouteTable &table, bool fresh, ForwardCall &call)
{
    call.route = table.route(call.request->host, call.request->path);
    if (call.route == nullptr) {
        return ForwardFailure::NoRoute;
    }
    call.rank = rankOf(*call.route, nullptr);
    if (!table.configuration().organisations || call.route->isPublic) {
        return std::nullopt;
    }
    if (!fresh) {
        return ForwardFailure::ConfigurationTooOld;
    }
    const OrganisationKeys *holder = call.request->key ? table.organisation(*call.request->key) : nullptr;
    if (holder == nullptr) {
        return ForwardFailure::KeyUnknown;
    }
    call.organisation = holder->id;
    call.rank = rankOf(*call.route, holder);
    return std::nullopt;
}

} // namespace Carawaymill
