#pragma once

#include "support/Codec.h"
#include "support/Identifiers.h"

#include <string>
#include <vector>

namespace Carawaymill {

struct KeyRevision
{
    std::string key;
    Revision revision;

    friend bool operator==(const KeyRevision &, const KeyRevision &) = default;
};

void to_json(nlohmann::json &json, const KeyRevision &listed);
void from_json(const nlohmann::json &json, KeyRevision &listed);

/// Key of the head record, which every edit writes in the same commit as the edited record.
inline constexpr const char *catalogueHeadKey = "catalogue/head";

/// Number of changes that the head lists.
inline constexpr std::size_t maxHeadChanges = 16;

/// The latest changes of the catalogue.
///
/// Whoever knows the head knows what else must be known: a replica sees from it, whatever way it came, whether a watch
/// has skipped a change, and a read of this one small record shows whether anything is new.
struct CatalogueHead
{
    /// Every change made after this revision is listed.
    Revision since;
    /// Oldest first. The revision of the last is 0 when stored, because the commit gives it; reading fills it in.
    std::vector<KeyRevision> changes;

    friend bool operator==(const CatalogueHead &, const CatalogueHead &) = default;
};

/// The head after one more change of `key`.
[[nodiscard]] CatalogueHead headAfterChange(CatalogueHead head, const std::string &key);

[[nodiscard]] std::string encodeCatalogueHead(const CatalogueHead &head);

/// Reads what `encodeCatalogueHead` wrote; `revision` is that of the head record.
[[nodiscard]] Result<CatalogueHead, DecodeFailure> decodeCatalogueHead(const std::string &value, Revision revision);

} // namespace Carawaymill
