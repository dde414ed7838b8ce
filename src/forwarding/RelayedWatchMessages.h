#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "support/Codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Carawaymill {

/// The ranges of the key-value service that hosts watch for each other.
enum class RelayedRange : std::uint8_t {
    Configuration = 0,
    Directory = 1,
    Hosts = 2,
};

/// A host waits for changes of a range after a revision.
struct RangeWatchRequest
{
    /// Chosen by the asking host, repeated in the answer.
    std::uint64_t number = 0;
    RelayedRange range = RelayedRange::Configuration;
    Revision after;
    /// Answered after so long even when nothing has changed.
    Duration wait{};
};

/// The changes since the revision that was asked for.
struct RangeWatchResponse
{
    std::uint64_t number = 0;
    RelayedRange range = RelayedRange::Configuration;
    std::vector<KeyValueRecord> written;
    std::vector<std::string> deletedKeys;
    /// Watch again from here.
    Revision revision;
    /// The service held this at most so long before the question arrived; negative when it did so later.
    Duration age{};
};

/// The asked host does not know the range well enough: the service is to be asked.
struct RangeWatchUnavailable
{
    std::uint64_t number = 0;
};

using RangeWatchMessage = std::variant<RangeWatchRequest, RangeWatchResponse, RangeWatchUnavailable>;

void to_json(nlohmann::json &json, const RangeWatchMessage &message);
void from_json(const nlohmann::json &json, RangeWatchMessage &message);

/// Action: send to one host.
struct SendRangeWatchMessage
{
    HostId to;
    RangeWatchMessage message;
};

} // namespace Carawaymill
