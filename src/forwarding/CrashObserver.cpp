#include "forwarding/CrashObserver.h"

#include <algorithm>

namespace Carawaymill {

/// Time for which the losses at one target are collected.
static constexpr Duration collectionPeriod = 100ms;
/// A query whose result never came is forgotten, and the loss is taken for a broken connection.
static constexpr Duration reportTimeout = 1s;

bool CrashObserver::recordLoss(
    const TargetId &target, RequestId id, AttemptNumber attempt, const std::vector<RequestTrait> &traits, TimePoint now)
{
    const auto [found, isFirst] = m_losses.try_emplace(target);
    Loss &loss = found->second;
    if (isFirst) {
        loss.id = id;
        loss.attempt = attempt;
        loss.at = now;
    }
    for (const RequestTrait &trait : traits) {
        std::uint32_t &specificity = loss.traits[trait.fingerprint];
        specificity = std::max(specificity, trait.specificity);
    }
    return isFirst;
}

void CrashObserver::recordReport(const ProgressReported &report)
{
    for (auto &[target, loss] : m_losses) {
        if (loss.id == report.id && loss.attempt == report.attempt) {
            loss.answered = report.answered;
        }
    }
}

std::vector<TargetCrashObserved> CrashObserver::takeCrashes(TimePoint now)
{
    std::vector<TargetCrashObserved> crashes;
    std::erase_if(m_losses, [&](const auto &entry) {
        const auto &[target, loss] = entry;
        if (now - loss.at < collectionPeriod || (!loss.answered && now - loss.at < reportTimeout)) {
            return false;
        }
        if (loss.answered == false) {
            TargetCrashObserved crash{.target = target, .traits = {}};
            for (const auto &[fingerprint, specificity] : loss.traits) {
                crash.traits.push_back({.fingerprint = fingerprint, .specificity = specificity});
            }
            crashes.push_back(std::move(crash));
        }
        return true;
    });
    return crashes;
}

} // namespace Carawaymill
