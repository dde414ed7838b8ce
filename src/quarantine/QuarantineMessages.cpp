#include "quarantine/QuarantineMessages.h"

#include "support/ArrayCodec.h"
#include "support/Hash.h"

namespace Carawaymill {

/// Hexadecimal digits: 128 bits of the hash.
static constexpr std::size_t fingerprintDigits = 32;

NLOHMANN_JSON_SERIALIZE_ENUM(QuarantineState,
                             {{QuarantineState::Suspect, "suspect"},
                              {QuarantineState::RunningIsolated, "onTrial"},
                              {QuarantineState::Condemned, "condemned"},
                              {QuarantineState::Cleared, "cleared"}})

Fingerprint fingerprintOf(const OrganisationId &organisation, const EntryId &entry, std::string_view body)
{
    const auto prefixed = [](std::string_view text) { return std::to_string(text.size()) + ":" + std::string(text); };
    const std::string whole = prefixed(organisation.value()) + prefixed(entry.value()) + prefixed(body);
    return Fingerprint(sha256Hex(whole).substr(0, fingerprintDigits));
}

std::string quarantineKey(const Fingerprint &fingerprint)
{
    return quarantinePrefix + fingerprint.value();
}

void to_json(nlohmann::json &json, const QuarantineRecord &record)
{
    json = {{"state", record.state}, {"weight", record.weight}, {"crashes", record.crashes}, {"holder", record.holder}};
}

void from_json(const nlohmann::json &json, QuarantineRecord &record)
{
    json.at("state").get_to(record.state);
    json.at("weight").get_to(record.weight);
    json.at("crashes").get_to(record.crashes);
    json.at("holder").get_to(record.holder);
}

void to_json(nlohmann::json &json, const QuarantineMessage &message)
{
    json = std::visit(
        Overloaded{
            [](const CrashReported &crash) {
                const CrashId &id = crash.id;
                return nlohmann::json::array(
                    {"crash", id.reporter, id.incarnation, id.number, crash.target, crash.inFlight});
            },
            [](const QuarantineAnnounced &announced) {
                return nlohmann::json::array({"announced", announced.fingerprint, announced.record});
            },
            [](const TargetReservationChanged &held) {
                return nlohmann::json::array({"reserved", held.target, held.holder, held.number, held.reserved});
            },
        },
        message);
}

void from_json(const nlohmann::json &json, QuarantineMessage &message)
{
    const auto name = json.at(0).get<std::string>();
    if (name == "crash") {
        CrashReported crash;
        readArray(json, 1, crash.id.reporter, crash.id.incarnation, crash.id.number, crash.target, crash.inFlight);
        message = std::move(crash);
    } else if (name == "announced") {
        QuarantineAnnounced announced;
        readArray(json, 1, announced.fingerprint, announced.record);
        message = std::move(announced);
    } else if (name == "reserved") {
        TargetReservationChanged held;
        readArray(json, 1, held.target, held.holder, held.number, held.reserved);
        message = std::move(held);
    } else {
        throw nlohmann::json::other_error::create(501, "/0: unknown message " + name, &json);
    }
}

} // namespace Carawaymill
