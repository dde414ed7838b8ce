#include "catalogue/CatalogueMessages.h"

namespace Carawaymill {

using nlohmann::json;

static void to_json(json &document, const CatalogueSummary &summary)
{
    document = json::array({summary.loaded, summary.revision, summary.stateHash});
    if (summary.staleness) {
        document.push_back(std::chrono::ceil<std::chrono::milliseconds>(*summary.staleness).count());
    }
}

static void from_json(const json &document, CatalogueSummary &summary)
{
    document.at(0).get_to(summary.loaded);
    document.at(1).get_to(summary.revision);
    document.at(2).get_to(summary.stateHash);
    if (document.size() > 3) {
        summary.staleness = std::chrono::milliseconds(document.at(3).get<std::uint32_t>());
    }
}

static void to_json(json &document, const CatalogueVersion &version)
{
    document = json::array({version.key, version.revision, version.value});
}

static void from_json(const json &document, CatalogueVersion &version)
{
    document.at(0).get_to(version.key);
    document.at(1).get_to(version.revision);
    document.at(2).get_to(version.value);
}

void to_json(json &document, const CatalogueMessage &message)
{
    std::visit(Overloaded{[&](const CatalogueDigest &digest) {
                              document = json::array({"digest", digest.nonce, digest.summary});
                          },
                          [&](const CatalogueDigestReply &reply) {
                              document = json::array({"reply", reply.nonce, reply.summary, reply.bucketHashes});
                          },
                          [&](const CatalogueBucketListing &listing) {
                              document = json::array({"listing", listing.buckets, listing.keys});
                          },
                          [&](const CatalogueVersionsWanted &wanted) {
                              document = json::array({"wanted", wanted.keys});
                          },
                          [&](const CatalogueVersions &versions) {
                              document = json::array({"versions", versions.versions, versions.isRepair});
                          }},
               message);
}

void from_json(const json &document, CatalogueMessage &message)
{
    const auto kind = document.at(0).get<std::string>();
    if (kind == "digest") {
        message = CatalogueDigest{.nonce = document.at(1), .summary = document.at(2)};
    } else if (kind == "reply") {
        message = CatalogueDigestReply{.nonce = document.at(1),
                                       .summary = document.at(2),
                                       .bucketHashes = document.at(3).get<std::vector<std::uint32_t>>()};
    } else if (kind == "listing") {
        message = CatalogueBucketListing{.buckets = document.at(1).get<std::vector<std::uint32_t>>(),
                                         .keys = document.at(2).get<std::vector<KeyRevision>>()};
    } else if (kind == "wanted") {
        message = CatalogueVersionsWanted{.keys = document.at(1).get<std::vector<std::string>>()};
    } else if (kind == "versions") {
        message = CatalogueVersions{.versions = document.at(1).get<std::vector<CatalogueVersion>>(),
                                    .isRepair = document.at(2)};
    } else {
        throw json::other_error::create(501, "/0: unknown catalogue message " + kind, &document);
    }
}

} // namespace Carawaymill
