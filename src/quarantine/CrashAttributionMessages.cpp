#include "quarantine/CrashAttributionMessages.h"

#include "support/ArrayCodec.h"
#include "support/Hash.h"

#include <algorithm>

namespace Carawaymill {

static constexpr std::size_t partFingerprintDigits = 32;
/// A prompt has a few parts; a caller can't make a request costly by naming thousands.
static constexpr std::size_t maximumParts = 16;

std::vector<RequestTrait> traitsOf(const OrganisationId &organisation,
                                   const std::string &path,
                                   const std::string &body,
                                   const std::vector<std::string> &sharedParts)
{
    std::vector<RequestTrait> traits{
        {.fingerprint = fingerprintOf(organisation, EntryId(path), body), .specificity = wholeRequestSpecificity}};
    std::uint32_t position = 0;
    for (const std::string &part : sharedParts) {
        if (position == maximumParts) {
            break;
        }
        position += 1;
        traits.push_back({.fingerprint = Fingerprint(sha256Hex("part:" + part).substr(0, partFingerprintDigits)),
                          .specificity = position});
    }
    return traits;
}

void to_json(nlohmann::json &json, const AttributionMessage &message)
{
    json = std::visit(
        Overloaded{
            [](const CrashTraitsReported &crash) {
                auto traits = nlohmann::json::array();
                for (const RequestTrait &trait : crash.traits) {
                    traits.push_back({trait.fingerprint, trait.specificity});
                }
                const CrashId &id = crash.id;
                return nlohmann::json::array(
                    {"crash-traits", id.reporter, id.incarnation, id.number, crash.target, std::move(traits)});
            },
            [](const TraitsExonerated &exonerated) {
                return nlohmann::json::array({"exonerated", exonerated.traits});
            },
            [](const TraitsCondemned &condemned) {
                auto traits = nlohmann::json::array();
                for (const CondemnedTrait &trait : condemned.traits) {
                    traits.push_back({trait.fingerprint, trait.remainingMilliseconds});
                }
                return nlohmann::json::array({"condemned-traits", std::move(traits)});
            },
            [](const CondemnedTraitsRequested &) { return nlohmann::json::array({"condemned-traits-requested"}); }},
        message);
}

void from_json(const nlohmann::json &json, AttributionMessage &message)
{
    const auto name = json.at(0).get<std::string>();
    if (name == "crash-traits") {
        CrashTraitsReported crash;
        readArray(json, 1, crash.id.reporter, crash.id.incarnation, crash.id.number, crash.target);
        for (const nlohmann::json &entry : json.at(5)) {
            RequestTrait trait;
            readArray(entry, 0, trait.fingerprint, trait.specificity);
            crash.traits.push_back(std::move(trait));
        }
        message = std::move(crash);
    } else if (name == "exonerated") {
        TraitsExonerated exonerated;
        readArray(json, 1, exonerated.traits);
        message = std::move(exonerated);
    } else if (name == "condemned-traits") {
        TraitsCondemned condemned;
        for (const nlohmann::json &entry : json.at(1)) {
            CondemnedTrait trait;
            readArray(entry, 0, trait.fingerprint, trait.remainingMilliseconds);
            condemned.traits.push_back(std::move(trait));
        }
        message = std::move(condemned);
    } else if (name == "condemned-traits-requested") {
        message = CondemnedTraitsRequested{};
    } else {
        throw nlohmann::json::other_error::create(501, "/0: unknown message " + name, &json);
    }
}

} // namespace Carawaymill
