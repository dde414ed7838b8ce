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

    /// The last fencing number given out, 0 when there was none.
    [[nodiscard]] FencingNumber lastFencingNumber() const;
};

/// Value of a lease record: who holds the scope, with which number.
[[nodiscard]] std::string leaseValue(const HostId &holder, FencingNumber number);

/// Value of a fencing record.
[[nodiscard]] std::string fencingValue(FencingNumber number);

/// The service's lease and fencing records as this host last learnt them. An older state never replaces a newer one.
class LeaseRecords
{
public:
    /// Takes in a reading of all records below `prefix`; those that it lacks are gone.
    void takeReading(const RangeRead &reading, const std::string &prefix);

    void takeChanges(const RangeChanged &changes);

    /// Takes in the present records that a refused commit of the scope reports.
    void takeConflict(const CommitConflict &conflict, const LeaseScopeId &scope);

    /// Takes in the effect of this host's own commit.
    void takeCommitted(const Commit &commit, Revision revision);

    [[nodiscard]] LeaseScopeRecords of(const LeaseScopeId &scope) const;

private:
    struct Entry
    {
        std::optional<KeyValueRecord> record;
        /// The store revision at which the record was known to be so.
        Revision asOf;
    };

    void set(const std::string &key, std::optional<KeyValueRecord> record, Revision asOf);
    [[nodiscard]] std::optional<KeyValueRecord> find(const std::string &key) const;

    std::map<std::string, Entry> m_entries;
};

} // namespace Carawaymill
