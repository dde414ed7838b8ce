#include "catalogue/Records.h"

namespace Carawaymill {

NLOHMANN_JSON_SERIALIZE_ENUM(
    JobClass, {{JobClass::Standard, "standard"}, {JobClass::Batch, "batch"}, {JobClass::Critical, "critical"}})
NLOHMANN_JSON_SERIALIZE_ENUM(TargetKind, {{TargetKind::Engine, "engine"}, {TargetKind::Service, "service"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Limits, requestsPerSecond, tokensPerSecond, jobsInProgress)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OrganisationRecord, id, tokenHashes, limits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ModelEntry, model, version, adapter)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceEntry, targets, idempotentMethods)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ModelRecord, id, layers, bytesPerLayer, activationBytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TargetRecord,
                                   id,
                                   kind,
                                   address,
                                   failureDomain,
                                   region,
                                   acceleratorKind,
                                   memory,
                                   layerTokensPerSecond,
                                   linkBytesPerSecond,
                                   checksFencingNumber,
                                   honoursIdempotencyKey)

static void to_json(nlohmann::json &json, const EntryRecord &entry)
{
    json = {{"id", entry.id}, {"owner", entry.owner}, {"jobClass", entry.jobClass}, {"limits", entry.limits}};
    std::visit(Overloaded{[&](const ModelEntry &model) { json["model"] = model; },
                          [&](const ServiceEntry &service) { json["service"] = service; }},
               entry.backEnd);
}

static void from_json(const nlohmann::json &json, EntryRecord &entry)
{
    json.at("id").get_to(entry.id);
    json.at("owner").get_to(entry.owner);
    json.at("jobClass").get_to(entry.jobClass);
    json.at("limits").get_to(entry.limits);
    if (json.contains("service")) {
        entry.backEnd = json.at("service").get<ServiceEntry>();
    } else {
        entry.backEnd = json.at("model").get<ModelEntry>();
    }
}

static const char *kindName(const CatalogueRecord &record)
{
    return std::visit(Overloaded{[](const OrganisationRecord &) { return "organisation"; },
                                 [](const EntryRecord &) { return "entry"; },
                                 [](const ModelRecord &) { return "model"; },
                                 [](const TargetRecord &) { return "target"; }},
                      record);
}

std::string catalogueKey(const CatalogueRecord &record)
{
    const std::string id = std::visit([](const auto &concrete) { return concrete.id.value(); }, record);
    return std::string(cataloguePrefix) + kindName(record) + "/" + id;
}

void to_json(nlohmann::json &json, const CatalogueRecord &record)
{
    std::visit([&](const auto &concrete) { json = concrete; }, record);
    json["kind"] = kindName(record);
    if (const auto *target = std::get_if<TargetRecord>(&record)) {
        json["targetKind"] = target->kind;
    }
}

void from_json(const nlohmann::json &json, CatalogueRecord &record)
{
    const std::string kind = json.at("kind").get<std::string>();
    if (kind == "organisation") {
        record = json.get<OrganisationRecord>();
    } else if (kind == "entry") {
        record = json.get<EntryRecord>();
    } else if (kind == "model") {
        record = json.get<ModelRecord>();
    } else if (kind == "target") {
        nlohmann::json target = json;
        target["kind"] = json.at("targetKind");
        record = target.get<TargetRecord>();
    } else {
        throw nlohmann::json::other_error::create(501, "/kind: unknown kind " + kind, &json);
    }
}

} // namespace Carawaymill
