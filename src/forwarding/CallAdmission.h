#pragma once

#include "forwarding/ForwardCall.h"
#include "forwarding/RouteTable.h"

#include <optional>

namespace Carawaymill {

/// Sets the call's route, organisation and rank. `fresh`: whether the configuration was confirmed recently enough to
/// admit callers by their keys. Returns the reason if the request is refused, otherwise std::nullopt.
[[nodiscard]] std::optional<ForwardFailure> admitCall(const RouteTable &table, bool fresh, ForwardCall &call);

} // namespace Carawaymill
