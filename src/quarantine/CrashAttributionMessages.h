#pragma once

#include "quarantine/QuarantineMessages.h"

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

/// Messages between hosts about what crashed targets have in common.
namespace Carawaymill {

/// A whole request is more specific than any part of a prompt.
inline constexpr std::uint32_t wholeRequestSpecificity = std::numeric_limits<std::uint32_t>::max();

/// Something that several requests can share and that may crash targets: a whole request, or one part of a prompt.
struct RequestTrait
{
    Fingerprint fingerprint;
    /// The position of the part in the prompt, or `wholeRequestSpecificity`.
    std::uint32_t specificity = 0;

    friend bool operator==(const RequestTrait &, const RequestTrait &) = default;
};

/// The traits of a request: itself, and the shared parts of its prompt in order.
[[nodiscard]] std::vector<RequestTrait> traitsOf(const OrganisationId &organisation,
                                                 const std::string &path,
                                                 const std::string &body,
                                                 const std::vector<std::string> &sharedParts);

/// Requests of the reporting host with these traits had only just begun on the target when it crashed.
struct CrashTraitsReported
{
    CrashId id;
    TargetId target;
    std::vector<RequestTrait> traits;

    friend bool operator==(const CrashTraitsReported &, const CrashTraitsReported &) = default;
};

/// The sender has seen requests with these traits run without a crash.
struct TraitsExonerated
{
    std::vector<Fingerprint> traits;

    friend bool operator==(const TraitsExonerated &, const TraitsExonerated &) = default;
};

/// Requests with this trait are refused for the remaining time.
struct CondemnedTrait
{
    Fingerprint fingerprint;
    std::uint64_t remainingMilliseconds = 0;

    friend bool operator==(const CondemnedTrait &, const CondemnedTrait &) = default;
};

struct TraitsCondemned
{
    std::vector<CondemnedTrait> traits;

    friend bool operator==(const TraitsCondemned &, const TraitsCondemned &) = default;
};

/// Asks the other hosts for the condemned traits; sent by a host that has started.
struct CondemnedTraitsRequested
{
    friend bool operator==(const CondemnedTraitsRequested &, const CondemnedTraitsRequested &) = default;
};

using AttributionMessage =
    std::variant<CrashTraitsReported, TraitsExonerated, TraitsCondemned, CondemnedTraitsRequested>;

void to_json(nlohmann::json &json, const AttributionMessage &message);
void from_json(const nlohmann::json &json, AttributionMessage &message);

} // namespace Carawaymill
