#pragma once

#include "support/Codec.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// What hosts tell each other, and keep in the key-value service, about requests that may crash their targets.
namespace Carawaymill {

/// Stands for the organisation, entry and body of a request.
using Fingerprint = StrongType<struct FingerprintTag, std::string>;

[[nodiscard]] Fingerprint
fingerprintOf(const OrganisationId &organisation, const EntryId &entry, std::string_view body);

/// One crash as one host saw it. Never used again, so that a doubled report is recognised.
struct CrashId
{
    HostId reporter;
    /// Fixed at the start of the reporter's process.
    IncarnationNumber incarnation;
    std::uint64_t number = 0;

    friend auto operator<=>(const CrashId &, const CrashId &) = default;
};

/// The target crashed while it ran these requests of the reporter.
struct CrashReported
{
    CrashId id;
    TargetId target;
    std::vector<Fingerprint> inFlight;

    friend bool operator==(const CrashReported &, const CrashReported &) = default;
};

enum class QuarantineState {
    /// Was in a batch that crashed its target; runs only alone.
    Suspect,
    /// Runs alone on a target for `holder` now.
    RunningIsolated,
    /// Crashed a target alone; is refused.
    Condemned,
    /// Completed, or was lifted by an operator.
    Cleared,
};

/// What is known of one request.
struct QuarantineRecord
{
    QuarantineState state = QuarantineState::Suspect;
    /// Sum of 1/n over the crashes, each with n requests in flight.
    double weight = 0;
    /// Number of crashes that it was part of.
    std::uint32_t crashes = 0;
    /// The process that runs the trial, as host and incarnation.
    std::string holder;

    friend bool operator==(const QuarantineRecord &, const QuarantineRecord &) = default;
};

/// A request was condemned or cleared.
struct QuarantineAnnounced
{
    Fingerprint fingerprint;
    QuarantineRecord record;

    friend bool operator==(const QuarantineAnnounced &, const QuarantineAnnounced &) = default;
};

/// The target is held free for a run alone, or no longer: other hosts send it no new work meanwhile.
struct TargetReservationChanged
{
    TargetId target;
    /// The process that holds it, as host and incarnation.
    std::string holder;
    /// Grows with each reservation of the holder, so that a late double is recognised.
    std::uint64_t number = 0;
    bool reserved = true;

    friend bool operator==(const TargetReservationChanged &, const TargetReservationChanged &) = default;
};

using QuarantineMessage = std::variant<CrashReported, QuarantineAnnounced, TargetReservationChanged>;

inline constexpr const char *quarantinePrefix = "quarantine/";

[[nodiscard]] std::string quarantineKey(const Fingerprint &fingerprint);

void to_json(nlohmann::json &json, const QuarantineRecord &record);
void from_json(const nlohmann::json &json, QuarantineRecord &record);
void to_json(nlohmann::json &json, const QuarantineMessage &message);
void from_json(const nlohmann::json &json, QuarantineMessage &message);

} // namespace Carawaymill
