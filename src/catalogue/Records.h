#pragma once

#include "support/Codec.h"
#include "support/Identifiers.h"
#include "support/Units.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// The records that operators edit. Each is stored as JSON in the key-value service.
namespace Carawaymill {

/// How much a job matters: under overload the lower class waits or is refused first.
enum class JobClass {
    Batch,
    Standard,
    Critical,
};

/// What an owner may consume, over all entry hosts together. 0 means "nothing".
struct Limits
{
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    std::uint32_t jobsInProgress = 0;

    friend bool operator==(const Limits &, const Limits &) = default;
};

/// A customer of the marketplace.
struct OrganisationRecord
{
    OrganisationId id;
    /// SHA-256 (hexadecimal) of each bearer token that acts for the organisation.
    std::vector<std::string> tokenHashes;
    /// Bounds everything that the organisation does, over all its entries.
    Limits limits;

    friend bool operator==(const OrganisationRecord &, const OrganisationRecord &) = default;
};

/// An entry served by a model pipeline.
struct ModelEntry
{
    ModelId model;
    std::string version;
    /// Empty: the base model.
    std::string adapter;

    friend bool operator==(const ModelEntry &, const ModelEntry &) = default;
};

/// An entry served by a plain service.
struct ServiceEntry
{
    std::vector<TargetId> targets;
    /// HTTP methods whose calls may simply be asked again, for example `GET`. Every other call runs at most once.
    std::vector<std::string> idempotentMethods;

    friend bool operator==(const ServiceEntry &, const ServiceEntry &) = default;
};

/// What callers name in `model`, or in the path of a plain service.
struct EntryRecord
{
    EntryId id;
    OrganisationId owner;
    JobClass jobClass = JobClass::Standard;
    Limits limits;
    std::variant<ModelEntry, ServiceEntry> backEnd;

    friend bool operator==(const EntryRecord &, const EntryRecord &) = default;
};

/// A model as engines can hold it.
struct ModelRecord
{
    ModelId id;
    std::uint32_t layers = 0;
    ByteCount bytesPerLayer;
    /// Size of one token's activation between two layers.
    ByteCount activationBytes;

    friend bool operator==(const ModelRecord &, const ModelRecord &) = default;
};

/// What kind of process a target is.
enum class TargetKind {
    Engine,
    Service,
};

/// What the operators declare of a target.
struct TargetRecord
{
    TargetId id;
    TargetKind kind = TargetKind::Engine;
    /// IP number and port, for example `10.0.1.7:9000`.
    std::string address;
    FailureDomainId failureDomain;
    RegionId region;
    /// For example `a100`; empty for plain services.
    std::string acceleratorKind;
    /// Memory for layers and KV cache.
    ByteCount memory;
    /// Layers of the reference model that the target runs for one token in one second, with full batches.
    double layerTokensPerSecond = 0;
    /// Bytes a second of the target's link.
    double linkBytesPerSecond = 0;
    /// Whether the target refuses an order that carries an old fencing number.
    bool checksFencingNumber = false;
    /// Whether the target itself keeps one idempotency key from running twice.
    bool honoursIdempotencyKey = false;

    friend bool operator==(const TargetRecord &, const TargetRecord &) = default;
};

using CatalogueRecord = std::variant<OrganisationRecord, EntryRecord, ModelRecord, TargetRecord>;

/// The record's key in the service, for example `catalogue/entry/flight-summary`.
[[nodiscard]] std::string catalogueKey(const CatalogueRecord &record);

/// Every catalogue key starts with this.
inline constexpr const char *cataloguePrefix = "catalogue/";

void to_json(nlohmann::json &json, const CatalogueRecord &record);
void from_json(const nlohmann::json &json, CatalogueRecord &record);

} // namespace Carawaymill
