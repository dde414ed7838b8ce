#include "quarantine/CondemnedTraitRegister.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>

namespace Carawaymill {

static constexpr const char *registerPrefix = "condemned/";

static std::string keyOf(const Fingerprint &trait)
{
    return registerPrefix + trait.value();
}

CondemnedTraitRegister::CondemnedTraitRegister(CondemnedTraitRegisterOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_backoff({.initial = 150ms, .maximum = 5s})
{
}

std::vector<CondemnedTraitRegisterAction> CondemnedTraitRegister::handle(const CondemnedTraitRegisterEvent &event,
                                                                         TimePoint now)
{
    Actions actions;
    std::visit([&](const auto &concrete) { on(concrete, now, actions); }, event);
    return actions;
}

void CondemnedTraitRegister::call(KeyValueRequest request,
                                  std::optional<Fingerprint> trait,
                                  TimePoint now,
                                  Actions &actions)
{
    m_lastCall = m_lastCall.next();
    m_inFlight = InFlight{.id = m_lastCall, .deadline = now + 2 * m_options.callTimeout, .trait = std::move(trait)};
    actions.emplace_back(
        KeyValueCall{.id = m_lastCall, .request = std::move(request), .timeout = m_options.callTimeout});
}

void CondemnedTraitRegister::on(const Tick & /*event*/, TimePoint now, Actions &actions)
{
    if (m_inFlight && now >= m_inFlight->deadline) {
        m_inFlight.reset();
    }
    if (m_inFlight || now < m_nextAt) {
        return;
    }
    if (!m_isRead) {
        call(ReadRange{registerPrefix}, std::nullopt, now, actions);
        return;
    }
    if (!m_lifted.empty()) {
        const auto &[trait, revision] = *m_lifted.begin();
        call(Commit{.operations = {DeleteOperation{.key = keyOf(trait), .expected = revision}}}, trait, now, actions);
        return;
    }
    const auto unwritten = std::ranges::find_if(m_condemned, [](const auto &entry) { return !entry.second; });
    if (unwritten == m_condemned.end()) {
        return;
    }
    if (!m_lease) {
        call(GrantLease{m_options.retention}, std::nullopt, now, actions);
        return;
    }
    call(Commit{.operations = {WriteOperation{
                    .key = keyOf(unwritten->first), .value = "{}", .expected = Revision(), .lease = m_lease}}},
         unwritten->first,
         now,
         actions);
}

void CondemnedTraitRegister::on(const KeyValueReply &reply, TimePoint now, Actions &actions)
{
    if (!m_inFlight || reply.id != m_inFlight->id) {
        return;
    }
    const std::optional<Fingerprint> trait = m_inFlight->trait;
    m_inFlight.reset();
    const auto setRevision = [&](std::optional<Revision> revision) {
        if (m_lifted.erase(*trait) > 0) {
            return;
        }
        if (const auto condemned = m_condemned.find(*trait); condemned != m_condemned.end()) {
            condemned->second = revision;
        } else if (revision) {
            // It was lifted while its record was written.
            m_lifted.emplace(*trait, *revision);
        }
    };
    std::visit(Overloaded{[&](const RangeRead &range) {
                              m_isRead = true;
                              if (!range.records.empty()) {
                                  actions.emplace_back(restore(range));
                              }
                          },
                          [&](const LeaseGranted &granted) { m_lease = granted.lease; },
                          [&](const Committed &committed) {
                              m_lease.reset();
                              setRevision(committed.revision);
                          },
                          [&](const CommitConflict &conflict) {
                              // Another host has written or deleted the record.
                              setRevision(conflict.currentRecords.empty() ? Revision()
                                                                          : conflict.currentRecords.front().revision);
                          },
                          [&](const LeaseNotFound &) { m_lease.reset(); },
                          [&](const auto &) { m_nextAt = now + m_backoff.next(m_random); }},
               reply.result);
    if (m_nextAt <= now) {
        m_backoff.reset();
    }
}

CondemnedTraitsRestored CondemnedTraitRegister::restore(const RangeRead &range) const
{
    CondemnedTraitsRestored restored;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.retention).count();
    for (const KeyValueRecord &record : range.records) {
        restored.traits.push_back(
            {.fingerprint = Fingerprint(record.key.substr(std::string_view(registerPrefix).size())),
             .remainingMilliseconds = static_cast<std::uint64_t>(remaining)});
    }
    return restored;
}

void CondemnedTraitRegister::on(const StoreEraChanged &change, TimePoint /*now*/, Actions & /*actions*/)
{
    if (!change.restored) {
        return;
    }
    m_inFlight.reset();
    m_lease.reset();
    m_lifted.clear();
    for (auto &[trait, revision] : m_condemned) {
        revision.reset();
    }
}

void CondemnedTraitRegister::on(const TraitCondemned &condemned, TimePoint /*now*/, Actions & /*actions*/)
{
    // What another host has decided is recorded by that host.
    if (condemned.evidence) {
        m_condemned.try_emplace(condemned.trait);
    }
}

void CondemnedTraitRegister::on(const TraitLifted &lifted, TimePoint /*now*/, Actions & /*actions*/)
{
    if (const auto condemned = m_condemned.find(lifted.trait); condemned != m_condemned.end()) {
        if (condemned->second) {
            m_lifted.emplace(condemned->first, *condemned->second);
        }
        m_condemned.erase(condemned);
    }
}

} // namespace Carawaymill
