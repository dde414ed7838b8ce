#include "routing/CacheEvents.h"

namespace Carawaymill {

static nlohmann::json changeJson(const CacheChange &change)
{
    return std::visit(
        Overloaded{[](const PrefixStored &stored) {
                       return nlohmann::json::array({"stored", stored.prefix.fingerprint, stored.prefix.tokens});
                   },
                   [](const PrefixEvicted &evicted) {
                       return nlohmann::json::array({"evicted", evicted.fingerprint});
                   }},
        change);
}

static CacheChange changeFrom(const nlohmann::json &json)
{
    const auto fingerprint = json.at(1).get<PrefixFingerprint>();
    if (json.at(0).get<std::string>() == "stored") {
        return PrefixStored{{.fingerprint = fingerprint, .tokens = json.at(2).get<TokenCount>()}};
    }
    return PrefixEvicted{fingerprint};
}

void to_json(nlohmann::json &json, const CacheChanged &changed)
{
    json = {{"target", changed.target}, {"incarnation", changed.incarnation}, {"first", changed.first}};
    json["changes"] = nlohmann::json::array();
    for (const CacheChange &change : changed.changes) {
        json["changes"].push_back(changeJson(change));
    }
}

void from_json(const nlohmann::json &json, CacheChanged &changed)
{
    json.at("target").get_to(changed.target);
    json.at("incarnation").get_to(changed.incarnation);
    json.at("first").get_to(changed.first);
    changed.changes.clear();
    for (const nlohmann::json &change : json.at("changes")) {
        changed.changes.push_back(changeFrom(change));
    }
}

void to_json(nlohmann::json &json, const CacheSnapshot &snapshot)
{
    json = {{"target", snapshot.target}, {"incarnation", snapshot.incarnation}, {"last", snapshot.last}};
    json["prefixes"] = nlohmann::json::array();
    for (const CachedPrefix &prefix : snapshot.prefixes) {
        json["prefixes"].push_back({prefix.fingerprint, prefix.tokens});
    }
}

void from_json(const nlohmann::json &json, CacheSnapshot &snapshot)
{
    json.at("target").get_to(snapshot.target);
    json.at("incarnation").get_to(snapshot.incarnation);
    json.at("last").get_to(snapshot.last);
    snapshot.prefixes.clear();
    for (const nlohmann::json &prefix : json.at("prefixes")) {
        snapshot.prefixes.push_back(
            {.fingerprint = prefix.at(0).get<PrefixFingerprint>(), .tokens = prefix.at(1).get<TokenCount>()});
    }
}

} // namespace Carawaymill
