#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "support/Codec.h"
#include "support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Carawaymill {

/// The ranges of the key-value service whose watches hosts relay.
enum class RelayedRange : std::uint8_t {
    Configuration = 0,
    Directory = 1,
    Hosts = 2,
};

/// Name of the range in log lines and metrics.
[[nodiscard]] const char *rangeName(RelayedRange range);

/// Requests the changes of a range after a revision.
struct RangeWatchRequest
{
    /// Chosen by the requesting host and repeated in the response.
    std::uint64_t number = 0;
    RelayedRange range = RelayedRange::Configuration;
    Revision after;
    /// Longest time until the response if there is no change.
    Duration wait{};
    /// Era in which `after` was read; std::nullopt if it is unknown.
    std::optional<StoreEra> era = std::nullopt;
};

/// The changes after the requested revision.
struct RangeWatchResponse
{
    std::uint64_t number = 0;
    RelayedRange range = RelayedRange::Configuration;
    std::vector<KeyValueRecord> written;
    std::vector<std::string> deletedKeys;
    /// Revision from which to continue the watch.
    Revision revision;
    /// Upper bound of the time from the service's confirmation to the arrival of the request; negative if the service
    /// confirmed it after the arrival.
    Duration age{};
    /// Era of `revision`; std::nullopt if it is unknown.
    std::optional<StoreEra> era = std::nullopt;
};

/// The responding host cannot serve the request; the requesting host has to query the service.
struct RangeWatchUnavailable
{
    std::uint64_t number = 0;
};

using RangeWatchMessage = std::variant<RangeWatchRequest, RangeWatchResponse, RangeWatchUnavailable>;

void to_json(nlohmann::json &json, const RangeWatchMessage &message);
void from_json(const nlohmann::json &json, RangeWatchMessage &message);

/// Action: send the message to one host.
struct SendRangeWatchMessage
{
    HostId to;
    RangeWatchMessage message;
};

} // namespace Carawaymill
