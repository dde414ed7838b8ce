#include "catalogue/CatalogueValidation.h"

#include "catalogue/CatalogueReplica.h"
#include "support/HostPort.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <optional>

namespace Carawaymill {

static constexpr std::size_t maxIdLength = 128;
static constexpr std::size_t sha256HexLength = 64;

using Fault = std::optional<InvalidRecord>;

static bool isId(const std::string &id)
{
    return !id.empty() && id.size() <= maxIdLength && std::ranges::all_of(id, [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9')
               || letter == '.' || letter == '-' || letter == '_';
    });
}

static bool isHash(const std::string &hash)
{
    return hash.size() == sha256HexLength && std::ranges::all_of(hash, [](char letter) {
               return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
           });
}

static bool isIpNumber(const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    if (text.size() > 2 && text.front() == '[' && text.back() == ']') {
        return inet_pton(AF_INET6, text.substr(1, text.size() - 2).c_str(), address.data()) == 1;
    }
    return inet_pton(AF_INET, text.c_str(), address.data()) == 1;
}

static bool isAddress(const std::string &text)
{
    const auto split = splitHostPort(text);
    return split && split->port > 0 && isIpNumber(split->host);
}

static Fault limitsFault(const Limits &limits)
{
    if (limits.requestsPerSecond < 0) {
        return InvalidRecord{.field = "/limits/requestsPerSecond", .fault = RecordFault::Negative};
    }
    if (limits.tokensPerSecond < 0) {
        return InvalidRecord{.field = "/limits/tokensPerSecond", .fault = RecordFault::Negative};
    }
    return std::nullopt;
}

static Fault recordFault(const OrganisationRecord &organisation, const CatalogueReplica &catalogue)
{
    for (std::size_t index = 0; index < organisation.tokenHashes.size(); ++index) {
        const std::string &hash = organisation.tokenHashes.at(index);
        const std::string field = "/tokenHashes/" + std::to_string(index);
        if (!isHash(hash)) {
            return InvalidRecord{.field = field, .fault = RecordFault::NotAHash};
        }
        if (const auto *other = catalogue.organisationByTokenHash(hash);
            other != nullptr && other->id != organisation.id) {
            return InvalidRecord{.field = field, .fault = RecordFault::TokenTaken};
        }
    }
    return limitsFault(organisation.limits);
}

static Fault backEndFault(const ModelEntry &model, const CatalogueReplica &catalogue)
{
    if (catalogue.model(model.model) == nullptr) {
        return InvalidRecord{.field = "/model/model", .fault = RecordFault::UnknownModel};
    }
    return std::nullopt;
}

static Fault backEndFault(const ServiceEntry &service, const CatalogueReplica &catalogue)
{
    if (service.targets.empty()) {
        return InvalidRecord{.field = "/service/targets", .fault = RecordFault::Empty};
    }
    for (std::size_t index = 0; index < service.targets.size(); ++index) {
        if (catalogue.target(service.targets.at(index)) == nullptr) {
            return InvalidRecord{.field = "/service/targets/" + std::to_string(index),
                                 .fault = RecordFault::UnknownTarget};
        }
    }
    return std::nullopt;
}

static Fault recordFault(const EntryRecord &entry, const CatalogueReplica &catalogue)
{
    if (catalogue.organisation(entry.owner) == nullptr) {
        return InvalidRecord{.field = "/owner", .fault = RecordFault::UnknownOrganisation};
    }
    if (Fault fault = limitsFault(entry.limits)) {
        return fault;
    }
    return std::visit([&](const auto &backEnd) { return backEndFault(backEnd, catalogue); }, entry.backEnd);
}

static Fault recordFault(const ModelRecord &model, const CatalogueReplica &)
{
    if (model.layers == 0) {
        return InvalidRecord{.field = "/layers", .fault = RecordFault::NotPositive};
    }
    return std::nullopt;
}

static Fault recordFault(const TargetRecord &target, const CatalogueReplica &)
{
    if (!isAddress(target.address)) {
        return InvalidRecord{.field = "/address", .fault = RecordFault::NotAnAddress};
    }
    if (target.failureDomain.value().empty()) {
        return InvalidRecord{.field = "/failureDomain", .fault = RecordFault::Empty};
    }
    if (target.layerTokensPerSecond < 0) {
        return InvalidRecord{.field = "/layerTokensPerSecond", .fault = RecordFault::Negative};
    }
    if (target.linkBytesPerSecond < 0) {
        return InvalidRecord{.field = "/linkBytesPerSecond", .fault = RecordFault::Negative};
    }
    if (target.kind == TargetKind::Engine && target.layerTokensPerSecond <= 0) {
        return InvalidRecord{.field = "/layerTokensPerSecond", .fault = RecordFault::NotPositive};
    }
    if (target.kind == TargetKind::Engine && target.memory.value() == 0) {
        return InvalidRecord{.field = "/memory", .fault = RecordFault::NotPositive};
    }
    return std::nullopt;
}

/// First place where what was understood differs from what was written.
static Fault differenceBetween(const nlohmann::json &written, const nlohmann::json &understood)
{
    const nlohmann::json patch = nlohmann::json::diff(written, understood);
    for (const nlohmann::json &change : patch) {
        const auto field = change.at("path").get<std::string>();
        if (change.at("op") == "remove") {
            return InvalidRecord{.field = field, .fault = RecordFault::UnknownField};
        }
        return InvalidRecord{.field = field, .fault = RecordFault::Malformed};
    }
    return std::nullopt;
}

Result<CatalogueRecord, InvalidRecord> decodeOperatorsRecord(const nlohmann::json &json)
{
    Result<CatalogueRecord, DecodeFailure> decoded = decode<CatalogueRecord>(json);
    if (const auto *failure = std::get_if<DecodeFailure>(&decoded)) {
        return InvalidRecord{.field = failure->field, .fault = RecordFault::Malformed};
    }
    auto &record = std::get<CatalogueRecord>(decoded);
    if (Fault fault = differenceBetween(json, nlohmann::json(record))) {
        return *fault;
    }
    return std::move(record);
}

Result<Done, InvalidRecord> validateRecord(const CatalogueRecord &record, const CatalogueReplica &catalogue)
{
    const std::string &id =
        std::visit([](const auto &concrete) -> const std::string & { return concrete.id.value(); }, record);
    if (!isId(id)) {
        return InvalidRecord{.field = "/id", .fault = RecordFault::NotAnId};
    }
    if (Fault fault = std::visit([&](const auto &concrete) { return recordFault(concrete, catalogue); }, record)) {
        return *fault;
    }
    return Done{};
}

static bool refersTo(const EntryRecord &entry, const std::string &key)
{
    const std::string prefix = cataloguePrefix;
    if (key == prefix + "organisation/" + entry.owner.value()) {
        return true;
    }
    return std::visit(
        Overloaded{[&](const ModelEntry &model) { return key == prefix + "model/" + model.model.value(); },
                   [&](const ServiceEntry &service) {
                       return std::ranges::any_of(service.targets, [&](const TargetId &target) {
                           return key == prefix + "target/" + target.value();
                       });
                   }},
        entry.backEnd);
}

Result<Done, InvalidRecord> validateDeletion(const std::string &key, const CatalogueReplica &catalogue)
{
    for (const EntryRecord *entry : catalogue.entries()) {
        if (refersTo(*entry, key)) {
            return InvalidRecord{.field = "", .fault = RecordFault::StillReferenced};
        }
    }
    return Done{};
}

std::string describe(RecordFault fault)
{
    switch (fault) {
    case RecordFault::Malformed:
        return "is missing or has the wrong type";
    case RecordFault::UnknownField:
        return "is not a known field";
    case RecordFault::NotAnId:
        return "must be 1 to 128 letters, digits, dots, hyphens or underscores";
    case RecordFault::Negative:
        return "must not be negative";
    case RecordFault::NotPositive:
        return "must be greater than 0";
    case RecordFault::Empty:
        return "must not be empty";
    case RecordFault::UnknownOrganisation:
        return "names an organisation that does not exist";
    case RecordFault::UnknownModel:
        return "names a model that does not exist";
    case RecordFault::UnknownTarget:
        return "names a target that does not exist";
    case RecordFault::NotAnAddress:
        return "must be an IP number and port";
    case RecordFault::NotAHash:
        return "must be a SHA-256 in lower-case hexadecimal";
    case RecordFault::TokenTaken:
        return "is the token of another organisation";
    case RecordFault::StillReferenced:
        return "is still named by an entry";
    case RecordFault::OtherKey:
        return "differs from the edited record's kind or id";
    case RecordFault::TooLarge:
        return "is too large for the key-value service";
    case RecordFault::EditIdInUse:
        return "is in use for another edit";
    }
    return {};
}

} // namespace Carawaymill
