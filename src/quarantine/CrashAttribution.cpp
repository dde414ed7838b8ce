#include "quarantine/CrashAttribution.h"

#include <algorithm>
#include <utility>

namespace Carawaymill {

/// A proof that is repeated within this time changes nothing.
static constexpr Duration proofResolution = 1s;
/// Bounds the decisions on one crash: condemnations that give way to new ones leave their crashes unexplained again.
static constexpr std::size_t maximumRounds = 16;

CrashAttribution::CrashAttribution(CrashAttributionOptions options)
    : m_options(std::move(options))
{
}

std::vector<CrashAttributionAction> CrashAttribution::handle(const CrashAttributionEvent &event, TimePoint now)
{
    Actions actions;
    if (!m_startedAt) {
        m_startedAt = now;
        m_nextAnnounce = now + m_options.announceInterval;
        send(CondemnedTraitsRequested{}, m_options.startRequestCount, now, actions);
    }
    std::visit([&](const auto &concrete) { on(concrete, now, actions); }, event);
    return actions;
}

std::optional<Duration> CrashAttribution::refusalTime(const std::vector<RequestTrait> &traits, TimePoint now) const
{
    std::optional<Duration> longest;
    if (m_condemned.empty()) {
        return longest;
    }
    for (const RequestTrait &trait : traits) {
        if (const auto found = m_condemned.find(trait.fingerprint); found != m_condemned.end() && found->second > now) {
            longest = std::max(longest.value_or(Duration::zero()), found->second - now);
        }
    }
    return longest;
}

void CrashAttribution::on(const TargetCrashObserved &event, TimePoint now, Actions &actions)
{
    m_lastReport += 1;
    send(
        CrashTraitsReported{
            .id = {.reporter = m_options.self, .incarnation = m_options.incarnation, .number = m_lastReport},
            .target = event.target,
            .traits = event.traits},
        m_options.sendCount,
        now,
        actions);
    recordCrash(event.target, event.traits, now, actions);
}

void CrashAttribution::on(const TraitsProvenSound &event, TimePoint now, Actions &actions)
{
    std::vector<Fingerprint> suspected;
    for (const RequestTrait &trait : event.traits) {
        if (prove(trait.fingerprint, now, actions)) {
            suspected.push_back(trait.fingerprint);
        }
    }
    exonerate(std::move(suspected), now, actions);
}

void CrashAttribution::on(const CondemnedRequestRefused &event, TimePoint now, Actions & /*actions*/)
{
    m_refusedCount += 1;
    for (const RequestTrait &trait : event.traits) {
        if (const auto found = m_condemned.find(trait.fingerprint); found != m_condemned.end()) {
            found->second = now + m_options.condemnationPeriod;
        }
    }
}

void CrashAttribution::on(const CondemnedTraitsRestored &event, TimePoint now, Actions &actions)
{
    adopt(event.traits, now, actions);
}

void CrashAttribution::on(const AttributionMessageReceived &event, TimePoint now, Actions &actions)
{
    std::visit([&](const auto &message) { received(message, now, actions); }, event.message);
}

void CrashAttribution::on(const Tick & /*event*/, TimePoint now, Actions &actions)
{
    for (QueuedMessage &queued : m_outbox) {
        if (now >= queued.nextRepeat) {
            queued.repeatsLeft -= 1;
            queued.nextRepeat = now + m_options.repeatInterval;
            actions.emplace_back(BroadcastAttributionMessage{queued.message});
        }
    }
    std::erase_if(m_outbox, [](const QueuedMessage &queued) { return queued.repeatsLeft == 0; });
    expire(now);
    if (countSettledCrashes(now)) {
        attribute(now, actions);
    }
    if (now >= m_nextAnnounce) {
        announceCondemned(now, actions);
    }
}

void CrashAttribution::received(const CrashTraitsReported &report, TimePoint now, Actions &actions)
{
    if (!m_seenReports.insert(report.id).second) {
        return;
    }
    m_reportOrder.emplace_back(now, report.id);
    recordCrash(report.target, report.traits, now, actions);
    std::vector<Fingerprint> sound;
    for (const RequestTrait &trait : report.traits) {
        if (isProven(trait.fingerprint, now)) {
            sound.push_back(trait.fingerprint);
        }
    }
    exonerate(std::move(sound), now, actions);
}

void CrashAttribution::received(const TraitsExonerated &exonerated, TimePoint now, Actions &actions)
{
    for (const Fingerprint &trait : exonerated.traits) {
        prove(trait, now, actions);
        m_exonerated[trait] = now;
    }
}

void CrashAttribution::received(const TraitsCondemned &condemned, TimePoint now, Actions &actions)
{
    std::erase_if(m_outbox, [](const QueuedMessage &queued) {
        return std::holds_alternative<CondemnedTraitsRequested>(queued.message);
    });
    const auto known = static_cast<std::size_t>(std::ranges::count_if(
        condemned.traits, [&](const CondemnedTrait &trait) { return m_condemned.contains(trait.fingerprint); }));
    adopt(condemned.traits, now, actions);
    if (known == m_condemned.size()) {
        m_nextAnnounce = now + m_options.announceInterval;
    }
}

void CrashAttribution::adopt(const std::vector<CondemnedTrait> &traits, TimePoint now, Actions &actions)
{
    std::vector<Fingerprint> sound;
    for (const CondemnedTrait &trait : traits) {
        if (isProven(trait.fingerprint, now)) {
            sound.push_back(trait.fingerprint);
            continue;
        }
        const Duration remaining =
            std::min<Duration>(std::chrono::milliseconds(trait.remainingMilliseconds), m_options.condemnationPeriod);
        condemn(trait.fingerprint, now + remaining, std::nullopt, actions);
    }
    markExplained();
    exonerate(std::move(sound), now, actions);
}

void CrashAttribution::received(const CondemnedTraitsRequested & /*request*/, TimePoint now, Actions &actions)
{
    // The repeats of the last announcement answer as well.
    if (!m_announcedAt || now - *m_announcedAt >= m_options.repeatInterval * m_options.sendCount) {
        announceCondemned(now, actions);
    }
}

void CrashAttribution::recordCrash(const TargetId &target,
                                   const std::vector<RequestTrait> &traits,
                                   TimePoint now,
                                   Actions &actions)
{
    auto crash = std::ranges::find_if(m_crashes, [&](const Crash &known) {
        return known.target == target && now - known.at < m_options.sameCrashPeriod;
    });
    if (crash == m_crashes.end()) {
        if (m_crashes.size() >= m_options.maximumCrashes) {
            m_crashes.pop_front();
        }
        m_crashCount += 1;
        m_crashes.push_back({.target = target, .at = now, .traits = {}});
        crash = std::prev(m_crashes.end());
        actions.emplace_back(CrashRecorded{.target = target, .traits = traits.size()});
    }
    crash->counted = false;
    for (const RequestTrait &trait : traits) {
        std::uint32_t &specificity = crash->traits[trait.fingerprint];
        specificity = std::max(specificity, trait.specificity);
    }
    markExplained();
}

bool CrashAttribution::prove(const Fingerprint &trait, TimePoint now, Actions &actions)
{
    if (const auto found = m_proofs.find(trait); found == m_proofs.end() || now - found->second >= proofResolution) {
        m_proofs[trait] = now;
        m_proofOrder.emplace_back(now, trait);
    }
    bool suspected = false;
    for (Crash &crash : m_crashes) {
        suspected = crash.traits.erase(trait) > 0 || suspected;
    }
    if (m_condemned.erase(trait) > 0) {
        suspected = true;
        markExplained();
        actions.emplace_back(TraitLifted{trait});
    }
    return suspected;
}

void CrashAttribution::exonerate(std::vector<Fingerprint> traits, TimePoint now, Actions &actions)
{
    std::erase_if(traits, [&](const Fingerprint &trait) {
        const auto last = m_exonerated.find(trait);
        return last != m_exonerated.end() && now - last->second < m_options.exonerationInterval;
    });
    if (traits.empty()) {
        return;
    }
    for (const Fingerprint &trait : traits) {
        m_exonerated[trait] = now;
    }
    send(TraitsExonerated{std::move(traits)}, m_options.sendCount, now, actions);
}

bool CrashAttribution::isProven(const Fingerprint &trait, TimePoint now) const
{
    const auto found = m_proofs.find(trait);
    return found != m_proofs.end() && now - found->second < m_options.proofRetention;
}

bool CrashAttribution::countSettledCrashes(TimePoint now)
{
    bool changed = false;
    for (Crash &crash : m_crashes) {
        if (!crash.counted && now - crash.at >= m_options.settlePeriod) {
            crash.counted = true;
            changed = true;
        }
    }
    return changed;
}

std::map<Fingerprint, CrashAttribution::Evidence> CrashAttribution::unexplainedEvidence() const
{
    std::map<Fingerprint, Evidence> suspects;
    for (const Crash &crash : m_crashes) {
        if (crash.explained || !crash.counted) {
            continue;
        }
        for (const auto &[trait, specificity] : crash.traits) {
            Evidence &evidence = suspects[trait];
            evidence.crashes += 1;
            evidence.specificity = std::max(evidence.specificity, specificity);
        }
    }
    return suspects;
}

std::vector<std::vector<const CrashAttribution::Crash *>> CrashAttribution::explainedCrashes() const
{
    std::vector<std::vector<const Crash *>> explained;
    for (const auto &[trait, until] : m_condemned) {
        std::vector<const Crash *> crashes;
        for (const Crash &crash : m_crashes) {
            if (crash.counted && crash.traits.contains(trait)) {
                crashes.push_back(&crash);
            }
        }
        if (!crashes.empty()) {
            explained.push_back(std::move(crashes));
        }
    }
    return explained;
}

std::map<Fingerprint, CrashAttribution::Evidence> CrashAttribution::suspects() const
{
    std::map<Fingerprint, Evidence> suspects = unexplainedEvidence();
    if (suspects.empty()) {
        return suspects;
    }
    const auto explained = explainedCrashes();
    for (auto &[suspect, evidence] : suspects) {
        const auto hasSuspect = [&trait = suspect](const Crash *crash) { return crash->traits.contains(trait); };
        std::set<const Crash *> better;
        for (const std::vector<const Crash *> &crashes : explained) {
            if (std::ranges::all_of(crashes, hasSuspect)) {
                better.insert(crashes.begin(), crashes.end());
            }
        }
        evidence.crashes += better.size();
    }
    return suspects;
}

void CrashAttribution::attribute(TimePoint now, Actions &actions)
{
    bool condemned = false;
    for (std::size_t round = 0; round < maximumRounds; ++round) {
        std::map<Fingerprint, Evidence> suspected = suspects();
        std::erase_if(suspected,
                      [&](const auto &suspect) { return suspect.second.crashes < m_options.crashesToCondemn; });
        std::vector<std::size_t> crashesOfProven;
        std::erase_if(suspected, [&](const auto &suspect) {
            const bool proven = isProven(suspect.first, now);
            if (proven) {
                crashesOfProven.push_back(suspect.second.crashes);
            }
            return proven;
        });
        const auto cause = std::ranges::max_element(
            suspected, [](const auto &one, const auto &other) { return one.second < other.second; });
        if (cause == suspected.end()) {
            break;
        }
        const Evidence most = cause->second;
        const auto equallySuspect = std::ranges::count_if(
            suspected, [&](const auto &suspect) { return suspect.second.crashes == most.crashes; });
        const auto provenSound =
            std::ranges::count_if(crashesOfProven, [&](std::size_t proven) { return proven >= most.crashes; });
        const CondemnationEvidence evidence{.crashes = most.crashes,
                                            .wholeRequest = most.specificity == wholeRequestSpecificity,
                                            .equallySuspect = static_cast<std::size_t>(equallySuspect - 1),
                                            .provenSound = static_cast<std::size_t>(provenSound)};
        // Requests that were repeated beside the cause have the same evidence. A whole request that is refused for
        // nothing costs its caller's repeats only; a part would cost many callers.
        for (const auto &[trait, one] : suspected) {
            if (trait == cause->first || (evidence.wholeRequest && one == most)) {
                condemn(trait, now + m_options.condemnationPeriod, evidence, actions);
            }
        }
        markExplained();
        condemned = true;
    }
    if (condemned) {
        announceCondemned(now, actions);
    }
}

void CrashAttribution::markExplained()
{
    for (Crash &crash : m_crashes) {
        crash.explained =
            std::ranges::any_of(crash.traits, [&](const auto &trait) { return m_condemned.contains(trait.first); });
    }
}

void CrashAttribution::condemn(const Fingerprint &trait,
                               TimePoint until,
                               const std::optional<CondemnationEvidence> &evidence,
                               Actions &actions)
{
    if (const auto found = m_condemned.find(trait); found != m_condemned.end()) {
        found->second = std::max(found->second, until);
        return;
    }
    if (m_condemned.size() >= m_options.maximumCondemned) {
        const auto oldest = std::ranges::min_element(
            m_condemned, [](const auto &one, const auto &other) { return one.second < other.second; });
        m_condemned.erase(oldest);
    }
    m_condemned.emplace(trait, until);
    actions.emplace_back(TraitCondemned{.trait = trait, .evidence = evidence});
}

void CrashAttribution::announceCondemned(TimePoint now, Actions &actions)
{
    m_nextAnnounce = now + m_options.announceInterval;
    TraitsCondemned announced;
    for (const auto &[trait, until] : m_condemned) {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count();
        announced.traits.push_back(
            {.fingerprint = trait,
             .remainingMilliseconds = static_cast<std::uint64_t>(std::max<std::int64_t>(remaining, 0))});
    }
    if (!announced.traits.empty()) {
        m_announcedAt = now;
        send(std::move(announced), m_options.sendCount, now, actions);
    }
}

void CrashAttribution::send(AttributionMessage message, unsigned count, TimePoint now, Actions &actions)
{
    actions.emplace_back(BroadcastAttributionMessage{message});
    if (count > 1) {
        m_outbox.push_back(
            {.message = std::move(message), .repeatsLeft = count - 1, .nextRepeat = now + m_options.repeatInterval});
    }
}

void CrashAttribution::expire(TimePoint now)
{
    std::erase_if(m_condemned, [&](const auto &entry) { return entry.second <= now; });
    while (!m_crashes.empty() && now - m_crashes.front().at >= m_options.crashRetention) {
        m_crashes.pop_front();
    }
    while (!m_reportOrder.empty() && now - m_reportOrder.front().first >= m_options.crashRetention) {
        m_seenReports.erase(m_reportOrder.front().second);
        m_reportOrder.pop_front();
    }
    while (!m_proofOrder.empty()
           && (now - m_proofOrder.front().first >= m_options.proofRetention
               || m_proofOrder.size() > m_options.maximumProofs)) {
        const auto &[at, trait] = m_proofOrder.front();
        if (const auto found = m_proofs.find(trait); found != m_proofs.end() && found->second == at) {
            m_proofs.erase(found);
            m_exonerated.erase(trait);
        }
        m_proofOrder.pop_front();
    }
}

std::string describe(const CrashRecorded &crash)
{
    return "Quarantine: event=crash target=" + crash.target.value() + " traits=" + std::to_string(crash.traits);
}

std::string describe(const TraitCondemned &condemned)
{
    std::string line = "Quarantine: event=condemned trait=" + condemned.trait.value();
    if (const std::optional<CondemnationEvidence> &evidence = condemned.evidence) {
        line += " crashes=" + std::to_string(evidence->crashes)
                + " kind=" + (evidence->wholeRequest ? "request" : "part") + " equally_suspect="
                + std::to_string(evidence->equallySuspect) + " proven_sound=" + std::to_string(evidence->provenSound);
    } else {
        line += " crashes=0";
    }
    return line;
}

std::string describe(const TraitLifted &lifted)
{
    return "Quarantine: event=lifted trait=" + lifted.trait.value();
}

} // namespace Carawaymill
