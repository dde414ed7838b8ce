#include "standins/KeyValueStore.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace Carawaymill {

static const std::string &keyOf(const CommitOperation &operation)
{
    return std::visit([](const auto &anyOperation) -> const std::string & { return anyOperation.key; }, operation);
}

static Revision expectedOf(const CommitOperation &operation)
{
    return std::visit([](const auto &anyOperation) { return anyOperation.expected; }, operation);
}

static bool isWrite(const KeyValueRequest &request)
{
    return !std::holds_alternative<ReadRange>(request) && !std::holds_alternative<WatchRange>(request);
}

KeyValueStore::KeyValueStore(KeyValueStoreOptions options)
    : m_options(options)
    , m_random(options.seed)
{
}

KeyValueResult KeyValueStore::apply(const KeyValueRequest &request, TimePoint now)
{
    endDueLeases(now);
    if (m_faults.outage) {
        ++m_counts.refused;
        return ServiceUnavailable{};
    }
    if (takeFault(request, m_faults.nextCallsLost, m_faults.callLossProbability)) {
        return OutcomeUnknown{};
    }
    count(request);
    const bool answerLost = takeFault(request, m_faults.nextAnswersLost, m_faults.answerLossProbability);
    KeyValueResult result =
        std::visit([this, now](const auto &anyRequest) { return execute(anyRequest, now); }, request);
    if (answerLost) {
        return OutcomeUnknown{};
    }
    return result;
}

std::optional<KeyValueResult> KeyValueStore::pollWatch(const WatchRange &watch, TimePoint now)
{
    endDueLeases(now);
    if (m_faults.outage) {
        return ServiceUnavailable{};
    }
    KeyValueResult result = execute(watch, now);
    if (const auto *changes = std::get_if<RangeChanged>(&result);
        changes != nullptr && changes->written.empty() && changes->deletedKeys.empty()) {
        return std::nullopt;
    }
    return result;
}

void KeyValueStore::endDueLeases(TimePoint now)
{
    std::vector<LeaseId> due;
    for (const auto &[id, lease] : m_leases) {
        if (lease.lapsesAt <= now) {
            due.push_back(id);
        }
    }
    for (const LeaseId &lease : due) {
        endLease(lease);
    }
}

std::optional<KeyValueRecord> KeyValueStore::record(const std::string &key) const
{
    if (const auto found = m_records.find(key); found != m_records.end()) {
        return found->second;
    }
    return std::nullopt;
}

void KeyValueStore::count(const KeyValueRequest &request)
{
    std::visit(Overloaded{
                   [this](const ReadRange &) { ++m_counts.reads; },
                   [this](const WatchRange &) { ++m_counts.watches; },
                   [this](const Commit &) { ++m_counts.commits; },
                   [this](const GrantLease &) { ++m_counts.grants; },
                   [this](const RenewLease &) { ++m_counts.renewals; },
                   [this](const RevokeLease &) { ++m_counts.revocations; },
               },
               request);
}

bool KeyValueStore::takeFault(const KeyValueRequest &request, std::uint32_t &next, double probability)
{
    if (next > 0 && isWrite(request)) {
        --next;
        return true;
    }
    return probability > 0 && m_random.fraction() < probability;
}

KeyValueResult KeyValueStore::execute(const ReadRange &read, TimePoint /*now*/)
{
    const Records &records = m_frozen ? m_frozen->records : m_records;
    RangeRead answer{.records = {}, .storeRevision = m_frozen ? m_frozen->revision : m_revision};
    for (auto at = records.lower_bound(read.prefix); at != records.end() && at->first.starts_with(read.prefix); ++at) {
        answer.records.push_back(at->second);
    }
    return answer;
}

KeyValueResult KeyValueStore::execute(const WatchRange &watch, TimePoint /*now*/)
{
    if (m_faults.watches == WatchFault::Silent) {
        return RangeChanged{.written = {}, .deletedKeys = {}, .storeRevision = watch.after};
    }
    if (watch.after < m_compacted) {
        return WatchCompacted{.storeRevision = m_revision};
    }
    RangeChanged answer{.written = {}, .deletedKeys = {}, .storeRevision = std::max(watch.after, m_revision)};
    if (m_faults.watches == WatchFault::Skipping) {
        return answer;
    }
    std::set<std::string> seen;
    // Only the last change of each key matters, so the newest come first.
    for (auto change = m_changes.rbegin(); change != m_changes.rend() && watch.after < change->revision; ++change) {
        if (!change->key.starts_with(watch.prefix) || !seen.insert(change->key).second) {
            continue;
        }
        if (change->record) {
            answer.written.push_back(*change->record);
        } else {
            answer.deletedKeys.push_back(change->key);
        }
    }
    std::ranges::reverse(answer.written);
    std::ranges::reverse(answer.deletedKeys);
    return answer;
}

KeyValueResult KeyValueStore::execute(const Commit &commit, TimePoint /*now*/)
{
    for (const CommitOperation &operation : commit.operations) {
        if (auto refused = refusal(operation)) {
            return *refused;
        }
    }
    for (const CommitOperation &operation : commit.operations) {
        const auto present = record(keyOf(operation));
        if ((present ? present->revision : Revision(0)) != expectedOf(operation)) {
            return conflict(commit);
        }
    }
    const bool changes = std::ranges::any_of(commit.operations, [this](const CommitOperation &operation) {
        return std::holds_alternative<WriteOperation>(operation)
               || (std::holds_alternative<DeleteOperation>(operation) && m_records.contains(keyOf(operation)));
    });
    if (changes) {
        m_revision = m_revision.next();
    }
    for (const CommitOperation &operation : commit.operations) {
        write(operation);
    }
    return Committed{.revision = m_revision};
}

KeyValueResult KeyValueStore::execute(const GrantLease &grant, TimePoint now)
{
    const LeaseId id(std::to_string(++m_leasesGranted));
    m_leases.emplace(id, Lease{.timeToLive = grant.timeToLive, .lapsesAt = now + grant.timeToLive});
    return LeaseGranted{.lease = id, .timeToLive = grant.timeToLive};
}

KeyValueResult KeyValueStore::execute(const RenewLease &renewal, TimePoint now)
{
    const auto found = m_leases.find(renewal.lease);
    if (found == m_leases.end()) {
        return LeaseNotFound{};
    }
    Lease &lease = found->second;
    lease.lapsesAt = now + lease.timeToLive;
    return LeaseRenewed{.timeToLive = lease.timeToLive};
}

KeyValueResult KeyValueStore::execute(const RevokeLease &revocation, TimePoint /*now*/)
{
    if (!m_leases.contains(revocation.lease)) {
        return LeaseNotFound{};
    }
    endLease(revocation.lease);
    return LeaseRevoked{};
}

std::optional<KeyValueResult> KeyValueStore::refusal(const CommitOperation &operation) const
{
    const auto *writing = std::get_if<WriteOperation>(&operation);
    if (writing == nullptr) {
        return std::nullopt;
    }
    if (writing->value.size() > m_options.maximumValueSize.value()) {
        return ValueTooLarge{};
    }
    if (writing->lease && !m_leases.contains(*writing->lease)) {
        return LeaseNotFound{};
    }
    return std::nullopt;
}

CommitConflict KeyValueStore::conflict(const Commit &commit) const
{
    CommitConflict answer{.currentRecords = {}, .storeRevision = m_revision};
    for (const CommitOperation &operation : commit.operations) {
        if (auto present = record(keyOf(operation))) {
            answer.currentRecords.push_back(std::move(*present));
        }
    }
    return answer;
}

void KeyValueStore::write(const CommitOperation &operation)
{
    std::visit(Overloaded{
                   [this](const WriteOperation &writing) {
                       const KeyValueRecord written{
                           .key = writing.key, .value = writing.value, .revision = m_revision, .lease = writing.lease};
                       m_records[writing.key] = written;
                       keep(Change{.revision = m_revision, .key = writing.key, .record = written});
                   },
                   [this](const DeleteOperation &deletion) {
                       if (m_records.erase(deletion.key) > 0) {
                           keep(Change{.revision = m_revision, .key = deletion.key, .record = std::nullopt});
                       }
                   },
                   [](const CheckOperation &) {},
               },
               operation);
}

void KeyValueStore::endLease(const LeaseId &lease)
{
    m_leases.erase(lease);
    std::vector<std::string> bound;
    for (const auto &[key, record] : m_records) {
        if (record.lease == lease) {
            bound.push_back(key);
        }
    }
    if (bound.empty()) {
        return;
    }
    m_revision = m_revision.next();
    for (const std::string &key : bound) {
        m_records.erase(key);
        keep(Change{.revision = m_revision, .key = key, .record = std::nullopt});
    }
}

void KeyValueStore::keep(Change change)
{
    m_changes.push_back(std::move(change));
    while (m_changes.size() > m_options.keptChanges) {
        m_compacted = m_changes.front().revision;
        m_changes.pop_front();
    }
}

} // namespace Carawaymill
