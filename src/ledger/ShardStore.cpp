#include "ledger/ShardStore.h"

#include "support/ArrayCodec.h"

#include <charconv>
#include <optional>

namespace Carawaymill {

/// Bounds the operations of one commit.
static constexpr std::size_t foldedTotalsPerCommit = 64;
static constexpr std::size_t prunedSegmentsPerCommit = 32;
/// Usage records that are kept in memory; a forgotten one costs one conflict.
static constexpr std::size_t rememberedUsageRecords = 10'000;

namespace {

/// A segment as it is stored: `[period, [entry, ...]]`.
struct StoredSegment
{
    LedgerPeriod period;
    std::vector<LedgerEntry> entries;
};

void from_json(const nlohmann::json &json, StoredSegment &segment)
{
    readArray(json, 0, segment.period, segment.entries);
}

} // namespace

static std::optional<std::uint64_t> numberOf(std::string_view digits)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return number;
}

static Revision revisionIn(const RangeRead &range, const std::string &key)
{
    for (const KeyValueRecord &record : range.records) {
        if (record.key == key) {
            return record.revision;
        }
    }
    return Revision(0);
}

static std::string textOf(const LedgerEntry &entry)
{
    return nlohmann::json(entry).dump();
}

template<typename T>
static std::optional<T> readRecord(const KeyValueRecord &record)
{
    auto json = parseJson(record.value);
    if (const auto *document = std::get_if<nlohmann::json>(&json)) {
        auto value = decode<T>(*document);
        if (auto *read = std::get_if<T>(&value)) {
            return std::move(*read);
        }
    }
    return std::nullopt;
}

LedgerPeriod ShardStore::firstOf(std::uint64_t periods, LedgerPeriod current)
{
    return LedgerPeriod(current.value() > periods ? current.value() - periods : 0);
}

Revision ShardStore::revisionOf(const std::string &key) const
{
    const auto found = m_revisions.find(key);
    return found == m_revisions.end() ? Revision(0) : found->second;
}

void ShardStore::addWrite(Commit &commit, const std::string &key, std::string value) const
{
    commit.operations.emplace_back(WriteOperation{.key = key, .value = std::move(value), .expected = revisionOf(key)});
}

Result<Commit, ShardNotOwned> ShardStore::takeOver(const RangeRead &head, FencingNumber fencingNumber)
{
    const std::string key = shardHeadKey(m_options.shard);
    m_fencingNumber = fencingNumber;
    m_period = LedgerPeriod(1);
    m_revisions.clear();
    m_usage.clear();
    for (const KeyValueRecord &record : head.records) {
        if (record.key != key) {
            continue;
        }
        const auto read = readRecord<ShardHead>(record);
        if (!read || read->fencingNumber >= fencingNumber) {
            return ShardNotOwned{};
        }
        m_period = read->period;
        m_revisions[key] = record.revision;
    }
    m_prepared = {.period = m_period};
    addWrite(
        m_prepared.commit, key, nlohmann::json(ShardHead{.fencingNumber = fencingNumber, .period = m_period}).dump());
    return m_prepared.commit;
}

Result<LoadedShard, ShardReadStale, ShardNotOwned> ShardStore::load(const RangeRead &range)
{
    if (const Revision head = revisionIn(range, shardHeadKey(m_options.shard));
        head != revisionOf(shardHeadKey(m_options.shard))) {
        if (head > revisionOf(shardHeadKey(m_options.shard))) {
            return ShardNotOwned{};
        }
        return ShardReadStale{};
    }
    const std::string prefix = shardSegmentPrefix(m_options.shard);
    std::map<std::uint64_t, StoredSegment> segments;
    m_bills = {};
    for (const KeyValueRecord &record : range.records) {
        if (record.key == shardBillsKey(m_options.shard)) {
            auto bills = readRecord<BillBook>(record);
            if (!bills) {
                return ShardNotOwned{};
            }
            m_bills = std::move(*bills);
        } else if (record.key.starts_with(prefix)) {
            auto segment = readRecord<StoredSegment>(record);
            const auto number = numberOf(record.key.substr(prefix.size()));
            if (!segment || !number) {
                return ShardNotOwned{};
            }
            segments[*number] = std::move(*segment);
        }
        m_revisions[record.key] = record.revision;
    }
    m_segments.clear();
    m_segment = {.number = 1, .period = m_period, .text = ""};
    LoadedShard loaded;
    for (auto &[number, segment] : segments) {
        for (LedgerEntry &entry : segment.entries) {
            loaded.entries.push_back({.period = segment.period, .entry = std::move(entry)});
        }
        m_segments[number] = segment.period;
        // A new owner begins a segment of its own.
        m_segment.number = number + 1;
    }
    return loaded;
}

std::size_t ShardStore::fitting(const std::vector<LedgerEntry> &entries) const
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const LedgerEntry &entry : entries) {
        bytes += textOf(entry).size() + 1;
        if (count > 0 && bytes > m_options.segmentLimit.value()) {
            break;
        }
        ++count;
    }
    return count;
}

Commit ShardStore::prepare(const ShardGroup &group)
{
    m_prepared = {.segment = m_segment, .segments = m_segments, .bills = m_bills, .period = m_period, .usage = {}};
    if (group.advancePeriod) {
        addPeriod(m_prepared);
    } else {
        const std::string head = shardHeadKey(m_options.shard);
        m_prepared.commit.operations.emplace_back(CheckOperation{.key = head, .expected = revisionOf(head)});
    }
    if (!group.entries.empty()) {
        addEntries(m_prepared, group.entries);
    }
    if (!group.bills.empty() || group.foldUsage) {
        addBills(m_prepared, group);
    }
    return m_prepared.commit;
}

void ShardStore::addPeriod(Prepared &prepared) const
{
    prepared.period = m_period.next();
    const ShardHead head{.fencingNumber = m_fencingNumber, .period = prepared.period};
    addWrite(prepared.commit, shardHeadKey(m_options.shard), nlohmann::json(head).dump());
    if (!prepared.segment.text.empty()) {
        ++prepared.segment.number;
    }
    prepared.segment.period = prepared.period;
    prepared.segment.text.clear();
    const LedgerPeriod first = firstOf(m_options.rememberedPeriods, prepared.period);
    std::size_t pruned = 0;
    for (const auto &[number, period] : m_segments) {
        if (period >= first || pruned == prunedSegmentsPerCommit) {
            break;
        }
        const std::string key = shardSegmentKey(m_options.shard, number);
        prepared.commit.operations.emplace_back(DeleteOperation{.key = key, .expected = revisionOf(key)});
        prepared.segments.erase(number);
        ++pruned;
    }
    prepared.bills.forgetStreamsBefore(firstOf(m_options.streamPeriods, prepared.period));
}

void ShardStore::addEntries(Prepared &prepared, const std::vector<LedgerEntry> &entries) const
{
    std::string added;
    for (const LedgerEntry &entry : entries) {
        added += (added.empty() ? "" : ",") + textOf(entry);
    }
    Segment &segment = prepared.segment;
    if (!segment.text.empty() && segment.text.size() + added.size() > m_options.segmentLimit.value()) {
        ++segment.number;
        segment.text.clear();
    }
    segment.text += (segment.text.empty() ? "" : ",") + added;
    prepared.segments[segment.number] = segment.period;
    addWrite(prepared.commit,
             shardSegmentKey(m_options.shard, segment.number),
             "[" + std::to_string(segment.period.value()) + ",[" + segment.text + "]]");
}

void ShardStore::addBills(Prepared &prepared, const ShardGroup &group) const
{
    for (const BillsReported &report : group.bills) {
        prepared.bills.record(report, prepared.period);
    }
    if (group.foldUsage) {
        addUsage(prepared);
    }
    addWrite(prepared.commit, shardBillsKey(m_options.shard), nlohmann::json(prepared.bills).dump());
}

void ShardStore::addUsage(Prepared &prepared) const
{
    for (const auto &[usage, total] : prepared.bills.takeTotals(foldedTotalsPerCommit)) {
        const std::string key = usageKey(usage.first, usage.second, m_options.shard);
        const auto known = m_usage.find(key);
        UsageTotal sum = known == m_usage.end() ? UsageTotal{} : known->second;
        Carawaymill::addUsage(sum, total);
        prepared.usage[key] = sum;
        addWrite(prepared.commit, key, nlohmann::json(sum).dump());
    }
}

CommitFate ShardStore::judge(const KeyValueResult &result)
{
    if (const auto *committed = std::get_if<Committed>(&result)) {
        accept(committed->revision);
        return CommitFate::TookEffect;
    }
    if (const auto *conflict = std::get_if<CommitConflict>(&result)) {
        return judgeConflict(*conflict);
    }
    if (std::holds_alternative<ServiceUnavailable>(result) && !m_prepared.uncertain) {
        return CommitFate::NoEffect;
    }
    if (std::holds_alternative<ValueTooLarge>(result)) {
        return CommitFate::Lost;
    }
    m_prepared.uncertain = true;
    return CommitFate::Uncertain;
}

CommitFate ShardStore::judgeConflict(const CommitConflict &conflict)
{
    std::map<std::string, const KeyValueRecord *> present;
    for (const KeyValueRecord &record : conflict.currentRecords) {
        present[record.key] = &record;
    }
    // An earlier sending took effect if every record has the value that it wrote; each commit writes a new value.
    std::optional<Revision> revision;
    bool ours = true;
    for (const CommitOperation &operation : m_prepared.commit.operations) {
        if (const auto *write = std::get_if<WriteOperation>(&operation)) {
            const auto found = present.find(write->key);
            ours = ours && found != present.end() && found->second->value == write->value;
            if (ours) {
                revision = found->second->revision;
            }
        }
    }
    if (ours && revision) {
        accept(*revision);
        return CommitFate::TookEffect;
    }
    const auto head = present.find(shardHeadKey(m_options.shard));
    if (head == present.end() || head->second->revision != revisionOf(head->first)) {
        return CommitFate::Lost;
    }
    bool learned = false;
    for (const auto &[key, record] : present) {
        const auto total = key.starts_with("usage/") ? readRecord<UsageTotal>(*record) : std::nullopt;
        if (total && revisionOf(key) != record->revision) {
            m_usage[key] = *total;
            m_revisions[key] = record->revision;
            learned = true;
        }
    }
    return learned ? CommitFate::PrepareAgain : CommitFate::Lost;
}

void ShardStore::accept(Revision revision)
{
    for (const CommitOperation &operation : m_prepared.commit.operations) {
        std::visit(Overloaded{
                       [&](const WriteOperation &write) { m_revisions[write.key] = revision; },
                       [&](const DeleteOperation &removed) { m_revisions.erase(removed.key); },
                       [](const CheckOperation &) {},
                   },
                   operation);
    }
    m_segment = std::move(m_prepared.segment);
    m_segments = std::move(m_prepared.segments);
    m_bills = std::move(m_prepared.bills);
    m_period = m_prepared.period;
    for (const auto &[key, total] : m_prepared.usage) {
        m_usage[key] = total;
    }
    if (m_usage.size() > rememberedUsageRecords) {
        for (const auto &[key, total] : m_usage) {
            m_revisions.erase(key);
        }
        m_usage.clear();
    }
}

} // namespace Carawaymill
