#include "catalogue/CatalogueHead.h"

namespace Carawaymill {

void to_json(nlohmann::json &json, const KeyRevision &listed)
{
    json = nlohmann::json::array({listed.key, listed.revision});
}

void from_json(const nlohmann::json &json, KeyRevision &listed)
{
    json.at(0).get_to(listed.key);
    json.at(1).get_to(listed.revision);
}

static void from_json(const nlohmann::json &json, CatalogueHead &head)
{
    json.at("since").get_to(head.since);
    json.at("changes").get_to(head.changes);
}

CatalogueHead headAfterChange(CatalogueHead head, const std::string &key)
{
    head.changes.push_back({.key = key, .revision = Revision(0)});
    while (head.changes.size() > maxHeadChanges) {
        head.since = head.changes.front().revision;
        head.changes.erase(head.changes.begin());
    }
    return head;
}

std::string encodeCatalogueHead(const CatalogueHead &head)
{
    return nlohmann::json{{"since", head.since}, {"changes", head.changes}}.dump();
}

Result<CatalogueHead, DecodeFailure> decodeCatalogueHead(const std::string &value, Revision revision)
{
    Result<nlohmann::json, DecodeFailure> parsed = parseJson(value);
    if (const auto *failure = std::get_if<DecodeFailure>(&parsed)) {
        return *failure;
    }
    Result<CatalogueHead, DecodeFailure> decoded = decode<CatalogueHead>(std::get<nlohmann::json>(parsed));
    if (auto *head = std::get_if<CatalogueHead>(&decoded); head != nullptr && !head->changes.empty()) {
        head->changes.back().revision = revision;
    }
    return decoded;
}

} // namespace Carawaymill
