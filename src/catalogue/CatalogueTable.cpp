#include "catalogue/CatalogueTable.h"

#include "support/Hash.h"

namespace Carawaymill {

static Result<StoredRecord, DecodeFailure> decodeFor(const CatalogueVersion &version)
{
    Result<StoredRecord, DecodeFailure> decoded = decodeStoredRecord(version.value);
    if (const auto *stored = std::get_if<StoredRecord>(&decoded)) {
        if (stored->record && catalogueKey(*stored->record) != version.key) {
            return DecodeFailure{.field = "/record/id"};
        }
    }
    return decoded;
}

ApplyResult CatalogueTable::apply(const CatalogueVersion &version)
{
    const auto [position, isNew] = m_items.try_emplace(version.key);
    Item &item = position->second;
    if (!isNew && version.revision <= item.revision) {
        return VersionNotNewer{};
    }
    if (isNew) {
        m_bucketKeys.at(bucketOf(version.key)).push_back(version.key);
        m_bytes += version.key.size();
    } else {
        toggleHash(version.key, item.revision);
    }
    toggleHash(version.key, version.revision);
    m_bytes += version.value.size() - item.value.size();
    item.revision = version.revision;
    item.value = version.value;

    return version.key == catalogueHeadKey ? applyHead(version) : applyRecord(item, version);
}

ApplyResult CatalogueTable::applyHead(const CatalogueVersion &version)
{
    Result<CatalogueHead, DecodeFailure> decoded = decodeCatalogueHead(version.value, version.revision);
    if (const auto *failure = std::get_if<DecodeFailure>(&decoded)) {
        return VersionUnreadable{.failure = *failure};
    }
    m_head = std::move(std::get<CatalogueHead>(decoded));
    return VersionApplied{};
}

ApplyResult CatalogueTable::applyRecord(Item &item, const CatalogueVersion &version)
{
    Result<StoredRecord, DecodeFailure> decoded = decodeFor(version);
    if (const auto *failure = std::get_if<DecodeFailure>(&decoded)) {
        item.readable = false;
        return VersionUnreadable{.failure = *failure};
    }
    removeTokenHashes(item);
    item.record = std::move(std::get<StoredRecord>(decoded).record);
    item.readable = true;
    addTokenHashes(item);
    return VersionApplied{};
}

Revision CatalogueTable::headRevision() const
{
    const Item *head = item(catalogueHeadKey);
    return head == nullptr ? Revision(0) : head->revision;
}

std::vector<std::string> CatalogueTable::missingKeys() const
{
    std::vector<std::string> missing;
    if (!m_head) {
        return missing;
    }
    for (const auto &[key, revision] : m_head->changes) {
        if (const Item *known = item(key); known == nullptr || known->revision < revision) {
            missing.push_back(key);
        }
    }
    return missing;
}

const CatalogueTable::Item *CatalogueTable::item(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? nullptr : &found->second;
}

std::optional<OrganisationId> CatalogueTable::organisationByTokenHash(const std::string &hash) const
{
    const auto found = m_tokenHashes.find(hash);
    return found == m_tokenHashes.end() ? std::nullopt : std::optional(found->second);
}

std::size_t CatalogueTable::bucketOf(const std::string &key)
{
    return stableHash(key) % bucketCount;
}

void CatalogueTable::toggleHash(const std::string &key, Revision revision)
{
    const std::uint64_t hash = stableHash(key, revision.value());
    m_stateHash ^= hash;
    m_bucketHashes.at(bucketOf(key)) ^= static_cast<std::uint32_t>(hash >> 32U);
}

void CatalogueTable::removeTokenHashes(const Item &item)
{
    if (!item.record) {
        return;
    }
    if (const auto *organisation = std::get_if<OrganisationRecord>(&*item.record)) {
        for (const std::string &hash : organisation->tokenHashes) {
            if (const auto found = m_tokenHashes.find(hash);
                found != m_tokenHashes.end() && found->second == organisation->id) {
                m_tokenHashes.erase(found);
            }
        }
    }
}

void CatalogueTable::addTokenHashes(const Item &item)
{
    if (!item.record) {
        return;
    }
    if (const auto *organisation = std::get_if<OrganisationRecord>(&*item.record)) {
        for (const std::string &hash : organisation->tokenHashes) {
            m_tokenHashes[hash] = organisation->id;
        }
    }
}

} // namespace Carawaymill
