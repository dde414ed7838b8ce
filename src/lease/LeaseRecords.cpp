#include "lease/LeaseRecords.h"

#include "support/Codec.h"

#include <algorithm>

namespace Carawaymill {

FencingNumber LeaseScopeRecords::lastFencingNumber() const
{
    if (!fencing) {
        return FencingNumber(0);
    }
    const auto parsed = parseJson(fencing->value);
    if (const auto *json = std::get_if<nlohmann::json>(&parsed); json != nullptr && json->is_number_unsigned()) {
        return FencingNumber(json->get<std::uint64_t>());
    }
    // The value is unreadable. Each assigned number used at least one store revision, so no number exceeds the
    // revision.
    return FencingNumber(fencing->revision.value());
}

/// Position of the era in a fencing number. Below it the number holds a revision: 2^36 last for seven years of 300
/// writes a second. Above it 2^17 eras keep the number below 2^53, up to which JSON numbers are exact.
static constexpr unsigned eraShift = 36;

FencingNumber LeaseScopeRecords::nextFencingNumber(std::optional<StoreEra> era) const
{
    const FencingNumber counted = lastFencingNumber().next();
    if (!era) {
        return counted;
    }
    const std::uint64_t revision = fencing ? fencing->revision.value() : 0;
    return std::max(counted, FencingNumber((era->value() << eraShift) + revision + 1));
}

std::string leaseValue(const HostId &holder, FencingNumber number)
{
    return nlohmann::json{{"host", holder}, {"fencing", number}}.dump();
}

std::string fencingValue(FencingNumber number)
{
    return std::to_string(number.value());
}

void LeaseRecords::applyReading(const RangeRead &reading, const std::string &prefix)
{
    for (auto &[key, entry] : m_entries) {
        if (key.starts_with(prefix) && entry.asOf < reading.storeRevision) {
            entry = Entry{.record = std::nullopt, .asOf = reading.storeRevision};
        }
    }
    for (const KeyValueRecord &record : reading.records) {
        set(record.key, record, reading.storeRevision);
    }
}

void LeaseRecords::applyChanges(const RangeChanged &changes)
{
    for (const std::string &key : changes.deletedKeys) {
        set(key, std::nullopt, changes.storeRevision);
    }
    for (const KeyValueRecord &record : changes.written) {
        set(record.key, record, changes.storeRevision);
    }
}

void LeaseRecords::applyConflict(const CommitConflict &conflict, const LeaseScopeId &scope)
{
    set(leaseKey(scope), std::nullopt, conflict.storeRevision);
    set(fencingKey(scope), std::nullopt, conflict.storeRevision);
    for (const KeyValueRecord &record : conflict.currentRecords) {
        set(record.key, record, conflict.storeRevision);
    }
}

void LeaseRecords::applyCommitted(const Commit &commit, Revision revision)
{
    for (const CommitOperation &operation : commit.operations) {
        if (const auto *written = std::get_if<WriteOperation>(&operation)) {
            set(written->key,
                KeyValueRecord{
                    .key = written->key, .value = written->value, .revision = revision, .lease = written->lease},
                revision);
        } else if (const auto *deleted = std::get_if<DeleteOperation>(&operation)) {
            set(deleted->key, std::nullopt, revision);
        }
    }
}

LeaseScopeRecords LeaseRecords::of(const LeaseScopeId &scope) const
{
    return LeaseScopeRecords{.lease = find(leaseKey(scope)), .fencing = find(fencingKey(scope))};
}

void LeaseRecords::set(const std::string &key, std::optional<KeyValueRecord> record, Revision asOf)
{
    if (Entry &entry = m_entries[key]; entry.asOf <= asOf) {
        entry = Entry{.record = std::move(record), .asOf = asOf};
    }
}

std::optional<KeyValueRecord> LeaseRecords::find(const std::string &key) const
{
    if (const auto found = m_entries.find(key); found != m_entries.end()) {
        return found->second.record;
    }
    return std::nullopt;
}

} // namespace Carawaymill
