#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "quarantine/CrashAttribution.h"
#include "support/Backoff.h"
#include "support/Random.h"
#include "support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace Carawaymill {

using CondemnedTraitRegisterEvent = std::variant<Tick, KeyValueReply, StoreEraChanged, TraitCondemned, TraitLifted>;

using CondemnedTraitRegisterAction = std::variant<KeyValueCall, CondemnedTraitsRestored>;

struct CondemnedTraitRegisterOptions
{
    std::uint64_t seed = 0;
    /// Records expire after this time, in which all hosts may have ended.
    Duration retention = 10min;
    Duration callTimeout = 800ms;
};

/// Records in the key-value service which traits this host has condemned, and reads the records of all hosts when it
/// starts: hosts tell each other as long as one of them lives, but all of them may end at once.
class CondemnedTraitRegister
{
public:
    explicit CondemnedTraitRegister(CondemnedTraitRegisterOptions options);

    [[nodiscard]] std::vector<CondemnedTraitRegisterAction> handle(const CondemnedTraitRegisterEvent &event,
                                                                   TimePoint now);

private:
    using Actions = std::vector<CondemnedTraitRegisterAction>;

    struct InFlight
    {
        CallId id;
        TimePoint deadline;
        /// The trait whose record is written or deleted.
        std::optional<Fingerprint> trait;
    };

    void on(const Tick &event, TimePoint now, Actions &actions);
    void on(const KeyValueReply &reply, TimePoint now, Actions &actions);
    void on(const StoreEraChanged &change, TimePoint now, Actions &actions);
    void on(const TraitCondemned &condemned, TimePoint now, Actions &actions);
    void on(const TraitLifted &lifted, TimePoint now, Actions &actions);
    [[nodiscard]] CondemnedTraitsRestored restore(const RangeRead &range) const;
    void call(KeyValueRequest request, std::optional<Fingerprint> trait, TimePoint now, Actions &actions);

    CondemnedTraitRegisterOptions m_options;
    Random m_random;
    Backoff m_backoff;
    CallId m_lastCall;
    std::optional<InFlight> m_inFlight;
    TimePoint m_nextAt{};
    bool m_isRead = false;
    /// The lease of the next record.
    std::optional<LeaseId> m_lease;
    /// Traits that this host has condemned, with the revision of their record; std::nullopt until it is written.
    std::map<Fingerprint, std::optional<Revision>> m_condemned;
    /// Records of traits that were lifted.
    std::map<Fingerprint, Revision> m_lifted;
};

} // namespace Carawaymill
