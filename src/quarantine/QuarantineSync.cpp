#include "quarantine/Quarantine.h"

/// The part of `Quarantine` that synchronises its records with the key-value service.
namespace Carawaymill {

/// Maximum number of operations in one commit.
static constexpr std::size_t recordsPerCommit = 32;

static std::optional<QuarantineRecord> readRecord(const std::string &value)
{
    const auto json = parseJson(value);
    if (const auto *document = std::get_if<nlohmann::json>(&json)) {
        const auto record = decode<QuarantineRecord>(*document);
        if (const auto *read = std::get_if<QuarantineRecord>(&record)) {
            return *read;
        }
    }
    return std::nullopt;
}

void Quarantine::synchronise(TimePoint now, Actions &actions)
{
    if (m_pendingCall || now < m_nextServiceAttempt) {
        return;
    }
    Commit commit;
    m_pendingWrites.clear();
    for (const auto &[fingerprint, entry] : m_entries) {
        if ((!entry.dirty && !entry.isolatedRunRequested) || commit.operations.size() == recordsPerCommit) {
            continue;
        }
        const std::string key = quarantineKey(fingerprint);
        QuarantineRecord record = entry.record;
        if (record.state == QuarantineState::Cleared) {
            commit.operations.emplace_back(DeleteOperation{.key = key, .expected = entry.revision});
        } else {
            if (entry.isolatedRunRequested) {
                record.state = QuarantineState::RunningIsolated;
                record.holder = holderName();
            }
            commit.operations.emplace_back(
                WriteOperation{.key = key, .value = nlohmann::json(record).dump(), .expected = entry.revision});
        }
        m_pendingWrites.emplace(fingerprint, std::move(record));
    }
    KeyValueRequest request = std::move(commit);
    if (m_pendingWrites.empty()) {
        if (now < m_nextRead) {
            return;
        }
        m_nextRead = now + m_options.readInterval;
        request = ReadRange{.prefix = quarantinePrefix};
    }
    m_lastCall = m_lastCall.next();
    m_pendingCall = m_lastCall;
    actions.emplace_back(KeyValueCall{.id = m_lastCall, .request = std::move(request), .timeout = 500ms});
}

void Quarantine::reply(const KeyValueReply &reply, TimePoint now, Actions &actions)
{
    if (m_pendingCall != reply.id) {
        return;
    }
    m_pendingCall.reset();
    std::visit(Overloaded{
                   [&](const Committed &done) { committed(done.revision, now, actions); },
                   [&](const CommitConflict &refused) { conflict(refused, now, actions); },
                   [&](const RangeRead &range) { rangeRead(range, now); },
                   [&](const auto &) { failed(now, actions); },
               },
               reply.result);
}

void Quarantine::committed(Revision revision, TimePoint now, Actions &actions)
{
    for (const auto &[fingerprint, written] : m_pendingWrites) {
        const auto found = m_entries.find(fingerprint);
        if (found == m_entries.end()) {
            continue;
        }
        Entry &entry = found->second;
        entry.revision = written.state == QuarantineState::Cleared ? Revision(0) : revision;
        if (written.state == QuarantineState::RunningIsolated && entry.isolatedRunRequested) {
            if (!beginIsolatedRun(entry, now)) {
                reportIsolatedRunDecision(fingerprint, entry, false, actions);
            }
        } else if (entry.record.state == QuarantineState::Cleared) {
            entry.dirty = entry.revision > Revision(0);
        } else {
            entry.dirty = entry.record != written;
        }
    }
}

void Quarantine::conflict(const CommitConflict &conflict, TimePoint now, Actions &actions)
{
    std::map<std::string, const KeyValueRecord *> present;
    for (const KeyValueRecord &record : conflict.currentRecords) {
        present[record.key] = &record;
    }
    for (const auto &[fingerprint, written] : m_pendingWrites) {
        const auto found = m_entries.find(fingerprint);
        if (found == m_entries.end()) {
            continue;
        }
        Entry &entry = found->second;
        const auto record = present.find(quarantineKey(fingerprint));
        if (record == present.end()) {
            // Another host deleted the record because the request was cleared or lifted.
            const bool removed = entry.revision > Revision(0) && entry.record.state != QuarantineState::Condemned;
            entry.revision = Revision(0);
            if (removed) {
                change(entry, QuarantineState::Cleared, now);
                entry.dirty = false;
            }
        } else if (record->second->revision != entry.revision) {
            applyStoredRecord(entry, *record->second, now);
        }
        if (entry.isolatedRunRequested && entry.record.state != QuarantineState::Suspect) {
            reportIsolatedRunDecision(fingerprint, entry, false, actions);
        }
    }
}

void Quarantine::applyStoredRecord(Entry &entry, const KeyValueRecord &stored, TimePoint now) const
{
    const auto record = readRecord(stored.value);
    entry.revision = stored.revision;
    if (!record) {
        entry.dirty = true;
        return;
    }
    // Local state that is at least as recent as the stored record overwrites it.
    const bool clearedHere = entry.record.state == QuarantineState::Cleared && entry.record.crashes >= record->crashes;
    if (clearedHere || entry.record.state == QuarantineState::Condemned || entry.runsIsolatedHere) {
        entry.dirty = true;
        return;
    }
    const bool own = record->state == QuarantineState::RunningIsolated && record->holder == holderName();
    change(entry, record->state, now);
    entry.record = *record;
    entry.dirty = false;
    if (own) {
        // The commit succeeded although its call failed: this isolated run was never granted.
        change(entry, QuarantineState::Suspect, now);
        entry.dirty = !entry.isolatedRunRequested;
    }
}

void Quarantine::rangeRead(const RangeRead &range, TimePoint now)
{
    std::set<std::string> keys;
    for (const KeyValueRecord &record : range.records) {
        const Fingerprint fingerprint(record.key.substr(std::string(quarantinePrefix).size()));
        keys.insert(record.key);
        Entry &entry = m_entries[fingerprint];
        if (record.revision > entry.revision) {
            applyStoredRecord(entry, record, now);
        }
    }
    for (auto &[fingerprint, entry] : m_entries) {
        const bool known = entry.revision > Revision(0) && entry.revision <= range.storeRevision;
        if (known && !entry.dirty && !entry.runsIsolatedHere && !keys.contains(quarantineKey(fingerprint))) {
            // Another host deleted the record and its announcement was lost.
            entry.revision = Revision(0);
            change(entry, QuarantineState::Cleared, now);
        }
    }
}

void Quarantine::failed(TimePoint now, Actions &actions)
{
    m_nextServiceAttempt = now + m_options.serviceRetryDelay;
    for (auto &[fingerprint, entry] : m_entries) {
        if (entry.isolatedRunRequested) {
            reportIsolatedRunDecision(fingerprint, entry, false, actions);
            // The failed commit may still have recorded the isolated run.
            entry.dirty = true;
        }
    }
}

} // namespace Carawaymill
