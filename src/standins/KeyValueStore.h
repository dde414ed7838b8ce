#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "standins/KeyValueFaults.h"
#include "support/Random.h"
#include "support/Units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Carawaymill {

struct KeyValueStoreOptions
{
    /// Seeds the choice of the calls that `KeyValueFaults` loses at random.
    std::uint64_t seed = 1;
    /// Changes of records kept for watches; a watch from before the oldest is answered `WatchCompacted`.
    std::size_t keptChanges = 100'000;
    ByteCount maximumValueSize{1024ULL * 1024ULL};
};

/// Calls that the store has received, by kind. Calls made during an outage are counted as `refused` alone.
struct KeyValueCounts
{
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t commits = 0;
    std::uint64_t grants = 0;
    std::uint64_t renewals = 0;
    std::uint64_t revocations = 0;
    std::uint64_t refused = 0;

    /// Calls that the platform bills as writes.
    [[nodiscard]] std::uint64_t writes() const { return commits + grants + renewals + revocations; }
};

/// Stand-in for the platform's key-value service, without input and output.
///
/// Every call takes effect at once and in order, as in the service: the store's revision grows by one with each commit
/// that changes something, and the records bound to a lease are deleted in one step when the lease ends.
class KeyValueStore
{
public:
    explicit KeyValueStore(KeyValueStoreOptions options);

    /// Ends the leases that are due, then carries out the call. `now` must not fall.
    ///
    /// A watch is answered at once with what has changed, possibly nothing: whoever drives the store asks again.
    [[nodiscard]] KeyValueResult apply(const KeyValueRequest &request, TimePoint now);

    /// The answer to a watch that `apply` found nothing for, as soon as there is one. Not counted: a waiting watch is
    /// one call. Ends the leases that are due first.
    [[nodiscard]] std::optional<KeyValueResult> pollWatch(const WatchRange &watch, TimePoint now);

    /// Ends the leases that are due and deletes their records.
    void endDueLeases(TimePoint now);

    /// The faults in force; change them at any time.
    [[nodiscard]] KeyValueFaults &faults() { return m_faults; }

    /// From now until `thawReads`, `ReadRange` answers with the present state, however old it gets.
    void freezeReads() { m_frozen = Snapshot{.records = m_records, .revision = m_revision}; }

    void thawReads() { m_frozen.reset(); }

    [[nodiscard]] const KeyValueCounts &counts() const { return m_counts; }

    [[nodiscard]] Revision revision() const { return m_revision; }

    /// The record as it truly is, for checks; not counted.
    [[nodiscard]] std::optional<KeyValueRecord> record(const std::string &key) const;

private:
    using Records = std::map<std::string, KeyValueRecord>;

    struct Snapshot
    {
        Records records;
        Revision revision;
    };

    struct Change
    {
        Revision revision;
        std::string key;
        /// Empty when the record was deleted.
        std::optional<KeyValueRecord> record;
    };

    struct Lease
    {
        Duration timeToLive{};
        TimePoint lapsesAt;
    };

    void count(const KeyValueRequest &request);
    [[nodiscard]] bool takeFault(const KeyValueRequest &request, std::uint32_t &next, double probability);
    [[nodiscard]] KeyValueResult execute(const ReadRange &read, TimePoint now);
    [[nodiscard]] KeyValueResult execute(const WatchRange &watch, TimePoint now);
    [[nodiscard]] KeyValueResult execute(const Commit &commit, TimePoint now);
    [[nodiscard]] KeyValueResult execute(const GrantLease &grant, TimePoint now);
    [[nodiscard]] KeyValueResult execute(const RenewLease &renewal, TimePoint now);
    [[nodiscard]] KeyValueResult execute(const RevokeLease &revocation, TimePoint now);
    [[nodiscard]] std::optional<KeyValueResult> refusal(const CommitOperation &operation) const;
    [[nodiscard]] CommitConflict conflict(const Commit &commit) const;
    void write(const CommitOperation &operation);
    void endLease(const LeaseId &lease);
    void keep(Change change);

    KeyValueStoreOptions m_options;
    KeyValueFaults m_faults;
    KeyValueCounts m_counts;
    Random m_random;
    Records m_records;
    Revision m_revision{1};
    /// Changes up to this revision are no longer kept.
    Revision m_compacted{0};
    std::deque<Change> m_changes;
    std::map<LeaseId, Lease> m_leases;
    std::uint64_t m_leasesGranted = 0;
    std::optional<Snapshot> m_frozen;
};

} // namespace Carawaymill
