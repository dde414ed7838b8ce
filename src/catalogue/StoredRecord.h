#pragma once

#include "catalogue/Records.h"
#include "support/Identifiers.h"

#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// Number of edit ids kept with a record: an edit is recognised as applied while fewer later edits than this followed
/// it.
inline constexpr std::size_t maxKeptEdits = 16;

/// An edit that took effect on a record.
struct AppliedEdit
{
    EditId id;
    /// Revision that the edit gave to the record; 0 for the newest edit, whose revision is the record's own.
    Revision revision;

    friend bool operator==(const AppliedEdit &, const AppliedEdit &) = default;
};

/// The value that the key-value service holds for one catalogue key.
struct StoredRecord
{
    /// Absent: an operator has deleted the record. Such a tombstone is a write like any other, so that its revision
    /// shows that it is newer than what it deleted.
    std::optional<CatalogueRecord> record;
    /// Oldest first, at most `maxKeptEdits`.
    std::vector<AppliedEdit> edits;

    friend bool operator==(const StoredRecord &, const StoredRecord &) = default;
};

/// JSON text for the key-value service: `{"record": {...} or null, "edits": [["id", revision], ...]}`.
[[nodiscard]] std::string encodeStoredRecord(const StoredRecord &stored);

/// Reads what `encodeStoredRecord` wrote; a missing `edits` counts as empty.
[[nodiscard]] Result<StoredRecord, DecodeFailure> decodeStoredRecord(const std::string &value);

/// The revision that the edit gave to the record, or nothing when the edit is not among those kept.
/// `recordRevision` is the present revision of the record.
[[nodiscard]] std::optional<Revision>
appliedRevision(const StoredRecord &stored, const EditId &edit, Revision recordRevision);

} // namespace Carawaymill
