#include "lease/LeaseScopeContext.h"

namespace Carawaymill {

static constexpr Duration firstRetryDelay = 500ms;

static Revision revisionOf(const std::optional<KeyValueRecord> &record)
{
    return record ? record->revision : Revision(0);
}

LeaseScopeContext::LeaseScopeContext(const LeaseScopeOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_backoff({.initial = firstRetryDelay, .maximum = options.maximumRetryDelay})
{
}

bool LeaseScopeContext::isWanted(const LeaseScopeSituation & /*situation*/) const
{
    return wanted;
}

bool LeaseScopeContext::isNotWanted(const LeaseScopeSituation & /*situation*/) const
{
    return !wanted;
}

bool LeaseScopeContext::isReadyToAcquire(const LeaseScopeSituation &situation) const
{
    return wanted && situation.recordsKnown && situation.leaseValid && !situation.isTakenByOther() && isDue(situation);
}

bool LeaseScopeContext::isAbandonedButMayBeHeld(const LeaseScopeSituation &situation) const
{
    return !wanted && mayBeHeld(situation);
}

bool LeaseScopeContext::isAbandonedAndFree(const LeaseScopeSituation &situation) const
{
    return !wanted && !mayBeHeld(situation);
}

bool LeaseScopeContext::isLeaseValid(const LeaseScopeSituation &situation) const
{
    return situation.leaseValid;
}

bool LeaseScopeContext::isReadyToSurrender(const LeaseScopeSituation &situation) const
{
    return !awaitsAnswer && mayBeHeld(situation) && isDue(situation);
}

bool LeaseScopeContext::isSurrendered(const LeaseScopeSituation &situation) const
{
    return !awaitsAnswer && !mayBeHeld(situation);
}

void LeaseScopeContext::sendAcquisition(const LeaseScopeSituation &situation)
{
    number = situation.records.lastFencingNumber().next();
    send(acquisition(situation));
}

void LeaseScopeContext::sendSurrender(const LeaseScopeSituation &situation)
{
    send(surrender(situation));
}

void LeaseScopeContext::announceAcquired(const LeaseScopeSituation &situation)
{
    awaitsAnswer = false;
    m_backoff.reset();
    m_uncertainLease.reset();
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

void LeaseScopeContext::tryAgainSoon(const LeaseScopeSituation &situation)
{
    awaitsAnswer = false;
    m_attemptAt = situation.now;
}

void LeaseScopeContext::tryAgainLater(const LeaseScopeSituation &situation)
{
    awaitsAnswer = false;
    m_attemptAt = situation.now + m_backoff.next(m_random);
}

void LeaseScopeContext::rememberUncertainty(const LeaseScopeSituation &situation)
{
    m_uncertainLease = situation.lease;
    tryAgainLater(situation);
}

void LeaseScopeContext::forgetUncertainty(const LeaseScopeSituation &situation)
{
    m_uncertainLease.reset();
    tryAgainSoon(situation);
}

void LeaseScopeContext::planAttempt(const LeaseScopeSituation &situation)
{
    if (situation.isTakenByOther()) {
        m_attemptAt.reset();
        // The other's acquisition has moved the fencing record on, which no late commit of ours expects.
        m_uncertainLease.reset();
    } else if (!m_attemptAt && situation.recordsKnown) {
        const auto spread = static_cast<std::uint64_t>(m_options.contentionSpread.count() + 1);
        m_attemptAt = situation.now + Duration(m_random.below(spread));
    }
}

bool LeaseScopeContext::mayBeHeld(const LeaseScopeSituation &situation) const
{
    return situation.isOurs() || (m_uncertainLease && m_uncertainLease == situation.lease);
}

Commit LeaseScopeContext::acquisition(const LeaseScopeSituation &situation) const
{
    return Commit{.operations = {WriteOperation{.key = leaseKey(m_options.scope),
                                                .value = leaseValue(m_options.host, number),
                                                .expected = revisionOf(situation.records.lease),
                                                .lease = situation.lease},
                                 WriteOperation{.key = fencingKey(m_options.scope),
                                                .value = fencingValue(number),
                                                .expected = revisionOf(situation.records.fencing)}}};
}

/// Deletes our record. When only a late commit could still create it, moves the fencing record on, which makes that
/// commit fail for good.
Commit LeaseScopeContext::surrender(const LeaseScopeSituation &situation) const
{
    if (situation.isOurs()) {
        return Commit{.operations = {DeleteOperation{.key = leaseKey(m_options.scope),
                                                     .expected = revisionOf(situation.records.lease)}}};
    }
    return Commit{.operations = {WriteOperation{.key = fencingKey(m_options.scope),
                                                .value = fencingValue(situation.records.lastFencingNumber().next()),
                                                .expected = revisionOf(situation.records.fencing)}}};
}

bool LeaseScopeContext::isDue(const LeaseScopeSituation &situation) const
{
    return m_attemptAt && *m_attemptAt <= situation.now;
}

void LeaseScopeContext::send(Commit commit)
{
    awaitsAnswer = true;
    m_attemptAt.reset();
    outputs.emplace_back(std::move(commit));
}

} // namespace Carawaymill
