#include "forwarding/TargetObservationMessages.h"

#include "support/Seconds.h"

#include <algorithm>
#include <array>

namespace Carawaymill {

static constexpr std::array causes = {ObservationCause::Silent,
                                      ObservationCause::Unreachable,
                                      ObservationCause::Gone,
                                      ObservationCause::NoRoom,
                                      ObservationCause::Slow};
/// Larger ages are read as this one, which no receiver believes, so that none overflows.
static constexpr std::uint64_t longestAgeMs = 60'000;

const char *observationCauseName(ObservationCause cause)
{
    switch (cause) {
    case ObservationCause::Silent:
        return "silent";
    case ObservationCause::Unreachable:
        return "unreachable";
    case ObservationCause::Gone:
        return "gone";
    case ObservationCause::NoRoom:
        return "no-room";
    case ObservationCause::Slow:
        return "slow";
    }
    return "";
}

void to_json(nlohmann::json &json, const TargetObservation &observation)
{
    json = {observationCauseName(observation.cause),
            observation.target,
            observation.incarnation,
            static_cast<std::uint64_t>(std::max<std::int64_t>(wholeMilliseconds(observation.age), 0))};
    if (observation.cause == ObservationCause::Slow) {
        json.push_back(observation.pace);
    }
}

void from_json(const nlohmann::json &json, TargetObservation &observation)
{
    const auto *const cause = std::ranges::find_if(
        causes, [&](ObservationCause candidate) { return json.at(0) == observationCauseName(candidate); });
    if (cause == causes.end()) {
        throw nlohmann::json::other_error::create(501, "no such cause", &json);
    }
    observation.cause = *cause;
    json.at(1).get_to(observation.target);
    json.at(2).get_to(observation.incarnation);
    observation.age = std::chrono::milliseconds(std::min(json.at(3).get<std::uint64_t>(), longestAgeMs));
    if (observation.cause == ObservationCause::Slow) {
        json.at(4).get_to(observation.pace);
    }
}

} // namespace Carawaymill
