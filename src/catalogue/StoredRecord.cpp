#include "catalogue/StoredRecord.h"

#include <algorithm>

namespace Carawaymill {

static void to_json(nlohmann::json &json, const AppliedEdit &edit)
{
    json = nlohmann::json::array({edit.id, edit.revision});
}

static void from_json(const nlohmann::json &json, AppliedEdit &edit)
{
    json.at(0).get_to(edit.id);
    json.at(1).get_to(edit.revision);
}

static void from_json(const nlohmann::json &json, StoredRecord &stored)
{
    if (const nlohmann::json &record = json.at("record"); !record.is_null()) {
        stored.record = record.get<CatalogueRecord>();
    }
    if (json.contains("edits")) {
        json.at("edits").get_to(stored.edits);
    }
}

std::string encodeStoredRecord(const StoredRecord &stored)
{
    nlohmann::json json = {{"record", nullptr}, {"edits", stored.edits}};
    if (stored.record) {
        json["record"] = *stored.record;
    }
    return json.dump();
}

Result<StoredRecord, DecodeFailure> decodeStoredRecord(const std::string &value)
{
    Result<nlohmann::json, DecodeFailure> parsed = parseJson(value);
    if (const auto *failure = std::get_if<DecodeFailure>(&parsed)) {
        return *failure;
    }
    return decode<StoredRecord>(std::get<nlohmann::json>(parsed));
}

std::optional<Revision> appliedRevision(const StoredRecord &stored, const EditId &edit, Revision recordRevision)
{
    const auto found = std::ranges::find(stored.edits, edit, &AppliedEdit::id);
    if (found == stored.edits.end()) {
        return std::nullopt;
    }
    return found->revision == Revision(0) ? recordRevision : found->revision;
}

} // namespace Carawaymill
