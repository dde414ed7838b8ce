#pragma once

#include "catalogue/CatalogueTable.h"
#include "support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Messages between the catalogue replicas of our hosts. All are idempotent, and may be lost, doubled or reordered.
namespace Carawaymill {

/// What a host knows of the catalogue, in constant size.
struct CatalogueSummary
{
    /// Whether the host has ever known the whole catalogue.
    bool loaded = false;
    /// Every change up to this store revision is in force on the host.
    Revision revision;
    std::uint64_t stateHash = 0;
    /// Every change accepted longer ago than this is in force on the host; absent when the host cannot tell.
    std::optional<Duration> staleness;

    friend bool operator==(const CatalogueSummary &, const CatalogueSummary &) = default;
};

/// Sent once a second to a random peer, and to every peer whose revision is asked for.
struct CatalogueDigest
{
    /// Repeated in the reply, which thereby shows that it was made after the digest.
    std::uint64_t nonce = 0;
    CatalogueSummary summary;
};

struct CatalogueDigestReply
{
    std::uint64_t nonce = 0;
    CatalogueSummary summary;
    /// `CatalogueTable::bucketHashes`; empty when both hosts know the same versions.
    std::vector<std::uint32_t> bucketHashes;
};

/// All that the sender knows of some buckets that differ.
struct CatalogueBucketListing
{
    std::vector<std::uint32_t> buckets;
    std::vector<KeyRevision> keys;
};

/// Asks for the newest versions of these keys.
struct CatalogueVersionsWanted
{
    std::vector<std::string> keys;
};

struct CatalogueVersions
{
    std::vector<CatalogueVersion> versions;
    /// Whether the versions answer a listing, so that more may be missing; otherwise they are news.
    bool isRepair = false;
};

using CatalogueMessage = std::
    variant<CatalogueDigest, CatalogueDigestReply, CatalogueBucketListing, CatalogueVersionsWanted, CatalogueVersions>;

void to_json(nlohmann::json &json, const CatalogueMessage &message);
void from_json(const nlohmann::json &json, CatalogueMessage &message);

} // namespace Carawaymill
