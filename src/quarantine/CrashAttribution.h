#pragma once

#include "quarantine/CrashAttributionMessages.h"
#include "support/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Carawaymill {

/// Event: a target crashed while requests of this host with these traits had only just begun there.
struct TargetCrashObserved
{
    TargetId target;
    std::vector<RequestTrait> traits;
};

/// Event: a request with these traits ran long enough on a target that it would have crashed it.
struct TraitsProvenSound
{
    std::vector<RequestTrait> traits;
};

/// Event: a request was refused because one of its traits is condemned.
struct CondemnedRequestRefused
{
    std::vector<RequestTrait> traits;
};

/// Event: traits that were condemned before this host has started. Other hosts may know of more.
struct CondemnedTraitsRestored
{
    std::vector<CondemnedTrait> traits;
};

struct AttributionMessageReceived
{
    AttributionMessage message;
};

using CrashAttributionEvent = std::variant<TargetCrashObserved,
                                           TraitsProvenSound,
                                           CondemnedRequestRefused,
                                           CondemnedTraitsRestored,
                                           AttributionMessageReceived,
                                           Tick>;

/// Action: send the message to every live host.
struct BroadcastAttributionMessage
{
    AttributionMessage message;
};

/// Action: log a crash that this host observed or heard of first.
struct CrashRecorded
{
    TargetId target;
    std::size_t traits = 0;
};

/// What led this host to condemn a trait.
struct CondemnationEvidence
{
    std::size_t crashes = 0;
    /// Whether the trait is a whole request rather than a part of prompts.
    bool wholeRequest = false;
    /// Number of traits that shared as many of the crashes.
    std::size_t equallySuspect = 0;
    /// Number of traits that shared as many of the crashes or more and were left out as proven sound.
    std::size_t provenSound = 0;
};

/// Action: log that a trait was condemned.
struct TraitCondemned
{
    Fingerprint trait;
    /// std::nullopt if another host decided it.
    std::optional<CondemnationEvidence> evidence;
};

/// Action: log that a condemned trait was proven sound and is no longer refused.
struct TraitLifted
{
    Fingerprint trait;
};

using CrashAttributionAction = std::variant<BroadcastAttributionMessage, CrashRecorded, TraitCondemned, TraitLifted>;

struct CrashAttributionOptions
{
    HostId self;
    /// Larger than that of any earlier process of the host.
    IncarnationNumber incarnation;
    /// Number of distinct crashes, none of them explained by another trait, that condemn a trait.
    std::size_t crashesToCondemn = 3;
    /// Time for which reports and exonerations of other hosts about a crash are collected before it counts.
    Duration settlePeriod = 500ms;
    /// Reports about one target within this time are about one crash; a target takes longer to restart.
    Duration sameCrashPeriod = 2s;
    /// A trait that was proven sound is not condemned for this time.
    Duration proofRetention = 1min;
    Duration crashRetention = 10min;
    /// A condemnation ends this long after the last request that it refused.
    Duration condemnationPeriod = 10min;
    /// Interval of announcing the condemned traits, unless another host has announced them.
    Duration announceInterval = 10s;
    /// Messages may be lost: each is sent this often, at this interval.
    unsigned sendCount = 3;
    /// A starting host asks for the condemned traits up to this often, at the same interval, until it hears of one: its
    /// connections to the other hosts take some seconds.
    unsigned startRequestCount = 40;
    Duration repeatInterval = 150ms;
    /// An exoneration is not announced again within this time.
    Duration exonerationInterval = 2s;
    std::size_t maximumProofs = 8192;
    std::size_t maximumCrashes = 256;
    std::size_t maximumCondemned = 256;
};

/// Finds what crashed targets have in common: a whole request or a part of prompts that crashes each target that begins
/// to answer it. All hosts exchange crashes, exonerations and condemnations by messages.
class CrashAttribution
{
public:
    explicit CrashAttribution(CrashAttributionOptions options);

    [[nodiscard]] std::vector<CrashAttributionAction> handle(const CrashAttributionEvent &event, TimePoint now);

    /// The time for which requests with these traits are refused; std::nullopt if none of the traits is condemned.
    [[nodiscard]] std::optional<Duration> refusalTime(const std::vector<RequestTrait> &traits, TimePoint now) const;

    [[nodiscard]] std::size_t condemnedTraits() const { return m_condemned.size(); }

    [[nodiscard]] std::uint64_t crashes() const { return m_crashCount; }

    [[nodiscard]] std::uint64_t refusedRequests() const { return m_refusedCount; }

private:
    using Actions = std::vector<CrashAttributionAction>;

    /// One crash of a target, combined from the reports of all hosts.
    struct Crash
    {
        TargetId target;
        TimePoint at;
        /// Specificity of each trait.
        std::map<Fingerprint, std::uint32_t> traits;
        /// A condemned trait was part of it.
        bool explained = false;
        /// All reports that arrived have been considered.
        bool counted = false;
    };

    /// How strongly a trait is suspected.
    struct Evidence
    {
        std::size_t crashes = 0;
        std::uint32_t specificity = 0;

        auto operator<=>(const Evidence &) const = default;
    };

    struct QueuedMessage
    {
        AttributionMessage message;
        unsigned repeatsLeft = 0;
        TimePoint nextRepeat;
    };

    void on(const TargetCrashObserved &event, TimePoint now, Actions &actions);
    void on(const TraitsProvenSound &event, TimePoint now, Actions &actions);
    void on(const CondemnedRequestRefused &event, TimePoint now, Actions &actions);
    void on(const CondemnedTraitsRestored &event, TimePoint now, Actions &actions);
    void on(const AttributionMessageReceived &event, TimePoint now, Actions &actions);
    void on(const Tick &event, TimePoint now, Actions &actions);
    void received(const CrashTraitsReported &report, TimePoint now, Actions &actions);
    void received(const TraitsExonerated &exonerated, TimePoint now, Actions &actions);
    void received(const TraitsCondemned &condemned, TimePoint now, Actions &actions);
    void received(const CondemnedTraitsRequested &request, TimePoint now, Actions &actions);
    void recordCrash(const TargetId &target, const std::vector<RequestTrait> &traits, TimePoint now, Actions &actions);
    /// Records a proof. Returns whether the other hosts should hear of it, because they may suspect the trait.
    bool prove(const Fingerprint &trait, TimePoint now, Actions &actions);
    void exonerate(std::vector<Fingerprint> traits, TimePoint now, Actions &actions);
    [[nodiscard]] bool isProven(const Fingerprint &trait, TimePoint now) const;
    /// Counts the crashes whose reports have been collected. Returns whether there were any.
    [[nodiscard]] bool countSettledCrashes(TimePoint now);
    /// The traits of the unexplained crashes, and how many of these each one has.
    [[nodiscard]] std::map<Fingerprint, Evidence> unexplainedEvidence() const;
    /// For each condemned trait, the crashes that it explains.
    [[nodiscard]] std::vector<std::vector<const Crash *>> explainedCrashes() const;
    /// Like unexplainedEvidence(), and counts for a trait that also explains all crashes of a condemned one these too:
    /// the condemned one may only have come along.
    [[nodiscard]] std::map<Fingerprint, Evidence> suspects() const;
    /// Condemns the traits that explain most of the unexplained crashes.
    void attribute(TimePoint now, Actions &actions);
    void markExplained();
    /// Condemns those traits of other hosts' decisions that are not proven sound, and tells the others of the rest.
    void adopt(const std::vector<CondemnedTrait> &traits, TimePoint now, Actions &actions);
    void condemn(const Fingerprint &trait,
                 TimePoint until,
                 const std::optional<CondemnationEvidence> &evidence,
                 Actions &actions);
    void announceCondemned(TimePoint now, Actions &actions);
    void send(AttributionMessage message, unsigned count, TimePoint now, Actions &actions);
    void expire(TimePoint now);

    CrashAttributionOptions m_options;
    std::deque<Crash> m_crashes;
    std::set<CrashId> m_seenReports;
    std::deque<std::pair<TimePoint, CrashId>> m_reportOrder;
    /// Last proof of each trait, and the order in which proofs are forgotten.
    std::map<Fingerprint, TimePoint> m_proofs;
    std::deque<std::pair<TimePoint, Fingerprint>> m_proofOrder;
    /// When a proof was last announced to the other hosts.
    std::map<Fingerprint, TimePoint> m_exonerated;
    /// End of each condemnation.
    std::map<Fingerprint, TimePoint> m_condemned;
    std::vector<QueuedMessage> m_outbox;
    std::optional<TimePoint> m_startedAt;
    TimePoint m_nextAnnounce;
    /// When the condemned traits were last announced by this host.
    std::optional<TimePoint> m_announcedAt;
    std::uint64_t m_lastReport = 0;
    std::uint64_t m_crashCount = 0;
    std::uint64_t m_refusedCount = 0;
};

/// Log lines, for example `Quarantine: event=condemned trait=1f.. crashes=3`.
[[nodiscard]] std::string describe(const CrashRecorded &crash);
[[nodiscard]] std::string describe(const TraitCondemned &condemned);
[[nodiscard]] std::string describe(const TraitLifted &lifted);

} // namespace Carawaymill
