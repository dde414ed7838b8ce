#pragma once

#include "catalogue/CatalogueHead.h"
#include "catalogue/StoredRecord.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Carawaymill {

/// One key of the catalogue at one revision, as the key-value service and peers pass it on.
struct CatalogueVersion
{
    std::string key;
    Revision revision;
    /// As made by `encodeStoredRecord`.
    std::string value;

    friend bool operator==(const CatalogueVersion &, const CatalogueVersion &) = default;
};

/// The version is in force from now on.
struct VersionApplied
{
};

/// The same or a newer revision of the key is already in force.
struct VersionNotNewer
{
};

/// The value cannot be read, for example because a newer release wrote it. The last readable record stays in force.
struct VersionUnreadable
{
    DecodeFailure failure;
};

using ApplyResult = std::variant<VersionApplied, VersionNotNewer, VersionUnreadable>;

/// The newest known version of each catalogue key.
///
/// A revision never gives way to an older one, whatever order the versions come in.
class CatalogueTable
{
public:
    /// Keys are spread over this many buckets, so that two hosts find their differences without sending all keys.
    static constexpr std::size_t bucketCount = 256;

    struct Item
    {
        Revision revision;
        std::string value;
        /// Absent: deleted, or never readable.
        std::optional<CatalogueRecord> record;
        bool readable = true;
    };

    using Items = std::map<std::string, Item>;

    /// Puts the version in force if it is newer than the known one.
    ApplyResult apply(const CatalogueVersion &version);

    /// The newest version of the key, deleted or not; null if none is known.
    [[nodiscard]] const Item *item(const std::string &key) const;

    [[nodiscard]] const Items &items() const { return m_items; }

    /// The newest known head; null if none is known.
    [[nodiscard]] const CatalogueHead *head() const { return m_head ? &*m_head : nullptr; }

    /// Revision of the newest known head, 0 if none is known.
    [[nodiscard]] Revision headRevision() const;

    /// Keys that the head lists with a newer revision than is known here.
    [[nodiscard]] std::vector<std::string> missingKeys() const;

    /// The organisation whose record lists this SHA-256 of a bearer token.
    [[nodiscard]] std::optional<OrganisationId> organisationByTokenHash(const std::string &hash) const;

    /// Hash over all keys and their revisions: equal on two hosts that know the same versions.
    [[nodiscard]] std::uint64_t stateHash() const { return m_stateHash; }

    /// Like `stateHash`, for each bucket.
    [[nodiscard]] const std::array<std::uint32_t, bucketCount> &bucketHashes() const { return m_bucketHashes; }

    [[nodiscard]] static std::size_t bucketOf(const std::string &key);

    /// The keys of a bucket.
    [[nodiscard]] const std::vector<std::string> &bucketKeys(std::size_t bucket) const
    {
        return m_bucketKeys.at(bucket);
    }

    /// Bytes of all keys and values.
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    ApplyResult applyHead(const CatalogueVersion &version);
    ApplyResult applyRecord(Item &item, const CatalogueVersion &version);
    void toggleHash(const std::string &key, Revision revision);
    void removeTokenHashes(const Item &item);
    void addTokenHashes(const Item &item);

    Items m_items;
    std::optional<CatalogueHead> m_head;
    std::unordered_map<std::string, OrganisationId> m_tokenHashes;
    std::array<std::vector<std::string>, bucketCount> m_bucketKeys;
    std::array<std::uint32_t, bucketCount> m_bucketHashes{};
    std::uint64_t m_stateHash = 0;
    std::size_t m_bytes = 0;
};

} // namespace Carawaymill
