#pragma once

#include "support/Codec.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstdint>

namespace Carawaymill {

/// What a host has observed of a target.
enum class ObservationCause : std::uint8_t {
    /// It sends nothing on its connections and did not reply to a query.
    Silent,
    /// It accepts no connection.
    Unreachable,
    /// A response of it broke off, and it accepts no connection since.
    Gone,
    /// It, or the target before it on the path, stated that it cannot take a request now.
    NoRoom,
    /// It reported that it runs slower than usual.
    Slow,
};

/// The name in messages, logs and metrics, for example `no-room`.
[[nodiscard]] const char *observationCauseName(ObservationCause cause);

/// A host tells the others what it observed of a target's process. JSON: `[cause, target, process, age in ms, pace]`,
/// without `pace` unless the cause is `slow`; elements after these are ignored.
struct TargetObservation
{
    ObservationCause cause = ObservationCause::Silent;
    TargetId target;
    IncarnationNumber incarnation;
    /// How long ago the target was in this state for sure. Clocks of two hosts are never compared.
    Duration age{};
    /// How much slower than usual the target runs; 1 unless the cause is `Slow`.
    double pace = 1;

    friend bool operator==(const TargetObservation &, const TargetObservation &) = default;
};

void to_json(nlohmann::json &json, const TargetObservation &observation);
void from_json(const nlohmann::json &json, TargetObservation &observation);

} // namespace Carawaymill
