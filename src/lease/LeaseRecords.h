#pragma once

#include "lease/LeaseMessages.h"

#include <map>
#include <optional>
#include <string>

namespace Carawaymill {

/// The two records of one scope, as far as they exist.
struct LeaseScopeRecords
{
    std::optional<KeyValueRecord> lease;
    std::optional<KeyValueRecord> fencing;

    /// The last fencing number that was assigned; 0 if there was none.
    [[nodiscard]] FencingNumber lastFencingNumber() const;

    /// The number of the next holder, or of the next write of the fencing record. It exceeds the numbers of all earlier
    /// eras, which the store may have lost. Within an era it grows with the revision of the fencing record, so that a
    /// delayed commit of an earlier era, which can write a lower number, never makes a number be assigned twice.
    [[nodiscard]] FencingNumber nextFencingNumber(std::optional<StoreEra> era) const;
};

/// Value of a lease record: the holder and its fencing number.
[[nodiscard]] std::string leaseValue(const HostId &holder, FencingNumber number);

/// Value of a fencing record.
[[nodiscard]] std::string fencingValue(FencingNumber number);

/// This host's copy of the lease and fencing records in the key-value service. An older state of a record never
/// replaces a newer one.
class LeaseRecords
{
public:
    /// Applies a read of all records below `prefix`; records that it does not contain have been deleted.
    void applyReading(const RangeRead &reading, const std::string &prefix);

    void applyChanges(const RangeChanged &changes);

    /// Applies the current records that the key-value service returned with a rejected commit of the scope.
    void applyConflict(const CommitConflict &conflict, const LeaseScopeId &scope);

    /// Applies the operations of this host's own commit, which succeeded at `revision`.
    void applyCommitted(const Commit &commit, Revision revision);

    [[nodiscard]] LeaseScopeRecords of(const LeaseScopeId &scope) const;

private:
    struct Entry
    {
        std::optional<KeyValueRecord> record;
        /// The store revision at which the record had this state.
        Revision asOf;
    };

    void set(const std::string &key, std::optional<KeyValueRecord> record, Revision asOf);
    [[nodiscard]] std::optional<KeyValueRecord> find(const std::string &key) const;

    std::map<std::string, Entry> m_entries;
};

} // namespace Carawaymill
