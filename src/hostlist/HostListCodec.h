#pragma once

#include "hostlist/HostListMessages.h"

#include <nlohmann/json_fwd.hpp>

namespace Carawaymill {

/// `{"hosts": [{"host", "state", "peerAddress", "failureDomain", "region"}], "targets": [{"target", "state"}]}`, where
/// the state is `live` or `leaving`.
void to_json(nlohmann::json &json, const HostListRead &list);
void from_json(const nlohmann::json &json, HostListRead &list);

} // namespace Carawaymill
