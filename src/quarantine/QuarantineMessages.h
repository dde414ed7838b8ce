#pragma once

#include "support/Codec.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages between hosts, and records in the key-value service, about requests that may crash their targets.
namespace Carawaymill {

/// Hash of the organisation, entry and body of a request: equal requests have equal fingerprints.
using Fingerprint = StrongType<struct FingerprintTag, std::string>;

[[nodiscard]] Fingerprint
fingerprintOf(const OrganisationId &organisation, const EntryId &entry, std::string_view body);

/// Identifies one host's report of one crash. Never reused, so that duplicates of the report are recognised.
struct CrashId
{
    HostId reporter;
    /// Fixed at the start of the reporter's process.
    IncarnationNumber incarnation;
    std::uint64_t number = 0;

    friend auto operator<=>(const CrashId &, const CrashId &) = default;
};

/// The target crashed while it ran these requests of the reporting host.
struct CrashReported
{
    CrashId id;
    TargetId target;
    std::vector<Fingerprint> inFlight;

    friend bool operator==(const CrashReported &, const CrashReported &) = default;
};

enum class QuarantineState {
    /// Was running on a target that crashed; may only run isolated.
    Suspect,
    /// An isolated run for `holder` is recorded.
    RunningIsolated,
    /// Identified as the cause of a crash; is rejected.
    Condemned,
    /// Completed, lifted by an operator, expired, or part of a crash that another request explains.
    Cleared,
};

/// State and crash history of one request.
struct QuarantineRecord
{
    QuarantineState state = QuarantineState::Suspect;
    /// Sum of 1/n over the crashes, each with n requests in flight.
    double weight = 0;
    /// Number of crashes that the request was part of.
    std::uint32_t crashes = 0;
    /// The host process that performs the isolated run, as `host#incarnation`; otherwise empty.
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

/// The target is reserved for an isolated run, or released. Other hosts send a reserved target no new work.
struct TargetReservationChanged
{
    TargetId target;
    /// The host process that reserves the target, as `host#incarnation`.
    std::string holder;
    /// Increases with each reservation of the holder, so that a delayed duplicate is recognised.
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
