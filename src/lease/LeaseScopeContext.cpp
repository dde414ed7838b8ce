#include "lease/LeaseScopeContext.h"

namespace Carawaymill {

static constexpr Duration initialRetryDelay = 500ms;

static Revision revisionOf(const std::optional<KeyValueRecord> &record)
{
    return record ? record->revision : Revision(0);
}

LeaseScopeContext::LeaseScopeContext(const LeaseScopeOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_backoff({.initial = initialRetryDelay, .maximum = options.maximumRetryDelay})
{
}

bool LeaseScopeContext::isRequested(const LeaseScopeSituation & /*situation*/) const
{
    return requested;
}

bool LeaseScopeContext::isNotRequested(const LeaseScopeSituation & /*situation*/) const
{
    return !requested;
}

bool LeaseScopeContext::isReadyToAcquire(const LeaseScopeSituation &situation) const
{
    return requested && situation.recordsKnown && situation.leaseValid && !situation.isHeldByOther()
           && isDue(situation);
}

bool LeaseScopeContext::isAbandonedButMayBeHeld(const LeaseScopeSituation &situation) const
{
    return !requested && mayBeHeld(situation);
}

bool LeaseScopeContext::isAbandonedAndFree(const LeaseScopeSituation &situation) const
{
    return !requested && !mayBeHeld(situation);
}

bool LeaseScopeContext::isLeaseValid(const LeaseScopeSituation &situation) const
{
    return situation.leaseValid;
}

bool LeaseScopeContext::isReadyToRelease(const LeaseScopeSituation &situation) const
{
    return !awaitsResponse && mayBeHeld(situation) && isDue(situation);
}

bool LeaseScopeContext::isReleased(const LeaseScopeSituation &situation) const
{
    return !awaitsResponse && !mayBeHeld(situation);
}

void LeaseScopeContext::sendAcquisition(const LeaseScopeSituation &situation)
{
    number = situation.records.nextFencingNumber(situation.era);
    send(acquireCommit(situation));
}

void LeaseScopeContext::sendRelease(const LeaseScopeSituation &situation)
{
    send(releaseCommit(situation));
}

void LeaseScopeContext::announceAcquired(const LeaseScopeSituation &situation)
{
    awaitsResponse = false;
    m_backoff.reset();
    m_unconfirmedLease.reset();
    outputs.emplace_back(
        LeaseAcquired{.scope = m_options.scope, .fencingNumber = number, .validUntil = situation.validUntil});
}

void LeaseScopeContext::announceReleased(const LeaseScopeSituation &situation)
{
    m_attemptAt = situation.now;
    outputs.emplace_back(
        LeaseLost{.scope = m_options.scope, .fencingNumber = number, .reason = LeaseLossReason::Released});
}

void LeaseScopeContext::announceLost(const LeaseScopeSituation &situation)
{
    m_attemptAt.reset();
    outputs.emplace_back(
        LeaseLost{.scope = m_options.scope,
                  .fencingNumber = number,
                  .reason = situation.lease ? LeaseLossReason::NotRenewedInTime : LeaseLossReason::EndedByService});
}

void LeaseScopeContext::retryNow(const LeaseScopeSituation &situation)
{
    awaitsResponse = false;
    m_attemptAt = situation.now;
}

void LeaseScopeContext::retryWithBackoff(const LeaseScopeSituation &situation)
{
    awaitsResponse = false;
    m_attemptAt = situation.now + m_backoff.next(m_random);
}

void LeaseScopeContext::recordUnknownOutcome(const LeaseScopeSituation &situation)
{
    m_unconfirmedLease = situation.lease;
    retryWithBackoff(situation);
}

void LeaseScopeContext::clearUnknownOutcome(const LeaseScopeSituation &situation)
{
    m_unconfirmedLease.reset();
    retryNow(situation);
}

void LeaseScopeContext::scheduleAttempt(const LeaseScopeSituation &situation)
{
    if (situation.isHeldByOther()) {
        m_attemptAt.reset();
        // The other host's commit changed the fencing record, so a delayed commit of this host fails its condition.
        m_unconfirmedLease.reset();
    } else if (!m_attemptAt && situation.recordsKnown) {
        const auto spread = static_cast<std::uint64_t>(m_options.contentionSpread.count() + 1);
        m_attemptAt = situation.now + Duration(m_random.below(spread));
    }
}

bool LeaseScopeContext::mayBeHeld(const LeaseScopeSituation &situation) const
{
    return situation.isHeldByThisHost() || (m_unconfirmedLease && m_unconfirmedLease == situation.lease);
}

Commit LeaseScopeContext::acquireCommit(const LeaseScopeSituation &situation) const
{
    return Commit{.operations = {WriteOperation{.key = leaseKey(m_options.scope),
                                                .value = leaseValue(m_options.host, number),
                                                .expected = revisionOf(situation.records.lease),
                                                .lease = situation.lease},
                                 WriteOperation{.key = fencingKey(m_options.scope),
                                                .value = fencingValue(number),
                                                .expected = revisionOf(situation.records.fencing)}}};
}

/// Deletes this host's lease record. If the record does not exist but a delayed commit could still create it, writes
/// the fencing record instead, so that the condition of the delayed commit fails.
Commit LeaseScopeContext::releaseCommit(const LeaseScopeSituation &situation) const
{
    if (situation.isHeldByThisHost()) {
        return Commit{.operations = {DeleteOperation{.key = leaseKey(m_options.scope),
                                                     .expected = revisionOf(situation.records.lease)}}};
    }
    return Commit{
        .operations = {WriteOperation{.key = fencingKey(m_options.scope),
                                      .value = fencingValue(situation.records.nextFencingNumber(situation.era)),
                                      .expected = revisionOf(situation.records.fencing)}}};
}

bool LeaseScopeContext::isDue(const LeaseScopeSituation &situation) const
{
    return m_attemptAt && *m_attemptAt <= situation.now;
}

void LeaseScopeContext::send(Commit commit)
{
    awaitsResponse = true;
    m_attemptAt.reset();
    outputs.emplace_back(std::move(commit));
}

} // namespace Carawaymill
