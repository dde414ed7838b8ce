#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "ledger/BillBook.h"

#include <map>
#include <string>
#include <vector>

/// How one shard of the ledger lies in the key-value service.
namespace Carawaymill {

struct ShardStoreOptions
{
    ShardNumber shard;
    /// A segment is rewritten with each group, so its size bounds the bytes of a commit.
    ByteCount segmentLimit{32UL * 1024UL};
    /// Keys are remembered for at least so many whole periods; at least 2.
    std::uint64_t rememberedPeriods = 24;
    /// Streams of bills are remembered for so many periods after their last bill.
    std::uint64_t streamPeriods = 7UL * 24UL;
};

/// One entry as it was loaded.
struct LoadedEntry
{
    LedgerPeriod period;
    LedgerEntry entry;
};

/// Everything of a shard that its owner needs to begin.
struct LoadedShard
{
    std::vector<LoadedEntry> entries;
};

/// Another owner has taken the shard, or a record of it cannot be read.
struct ShardNotOwned
{
    friend bool operator==(ShardNotOwned, ShardNotOwned) = default;
};

/// The read is older than the takeover: read again.
struct ShardReadStale
{
    friend bool operator==(ShardReadStale, ShardReadStale) = default;
};

/// What is committed together.
struct ShardGroup
{
    std::vector<LedgerEntry> entries;
    std::vector<BillsReported> bills;
    bool advancePeriod = false;
    /// Adds sums of bills to the usage records.
    bool foldUsage = false;

    [[nodiscard]] bool empty() const { return entries.empty() && bills.empty() && !advancePeriod && !foldUsage; }
};

/// What a reply says about the commit that `prepare` made last.
enum class CommitFate {
    TookEffect,
    /// Nothing took effect, and `prepare` may be called again.
    NoEffect,
    /// It may or may not have taken effect: send the same commit again.
    Uncertain,
    /// Records of usage have become known: call `prepare` again for the same group.
    PrepareAgain,
    /// The shard has another owner.
    Lost,
};

/// Turns groups into commits that only the shard's present owner can make, and judges their replies.
class ShardStore
{
public:
    explicit ShardStore(ShardStoreOptions options)
        : m_options(options)
    {
    }

    /// The commit that takes the shard over, given what was read of its head.
    [[nodiscard]] Result<Commit, ShardNotOwned> takeOver(const RangeRead &head, FencingNumber fencingNumber);

    /// Takes in the whole shard, read after `takeOver` took effect.
    [[nodiscard]] Result<LoadedShard, ShardReadStale, ShardNotOwned> load(const RangeRead &range);

    /// Number of leading entries that fit into one commit.
    [[nodiscard]] std::size_t fitting(const std::vector<LedgerEntry> &entries) const;

    [[nodiscard]] Commit prepare(const ShardGroup &group);

    [[nodiscard]] CommitFate judge(const KeyValueResult &result);

    [[nodiscard]] LedgerPeriod period() const { return m_period; }

    /// Claims of earlier periods are forgotten.
    [[nodiscard]] LedgerPeriod firstRememberedPeriod() const { return firstOf(m_options.rememberedPeriods, m_period); }

    /// The bills as they are recorded.
    [[nodiscard]] const BillBook &bills() const { return m_bills; }

private:
    struct Segment
    {
        std::uint64_t number = 0;
        LedgerPeriod period;
        /// Its entries as JSON, separated by commas.
        std::string text;
    };

    /// State that becomes valid when the prepared commit takes effect.
    struct Prepared
    {
        Commit commit;
        Segment segment;
        std::map<std::uint64_t, LedgerPeriod> segments;
        BillBook bills;
        LedgerPeriod period;
        std::map<std::string, UsageTotal> usage;
        /// An earlier reply left open whether the commit took effect.
        bool uncertain = false;
    };

    static LedgerPeriod firstOf(std::uint64_t periods, LedgerPeriod current);

    void addWrite(Commit &commit, const std::string &key, std::string value) const;
    void addEntries(Prepared &prepared, const std::vector<LedgerEntry> &entries) const;
    void addBills(Prepared &prepared, const ShardGroup &group) const;
    void addUsage(Prepared &prepared) const;
    void addPeriod(Prepared &prepared) const;
    void accept(Revision revision);
    [[nodiscard]] CommitFate judgeConflict(const CommitConflict &conflict);
    [[nodiscard]] Revision revisionOf(const std::string &key) const;

    ShardStoreOptions m_options;
    FencingNumber m_fencingNumber;
    LedgerPeriod m_period;
    Segment m_segment;
    std::map<std::uint64_t, LedgerPeriod> m_segments;
    BillBook m_bills;
    /// Usage records that were written or seen.
    std::map<std::string, UsageTotal> m_usage;
    std::map<std::string, Revision> m_revisions;
    Prepared m_prepared;
};

} // namespace Carawaymill
