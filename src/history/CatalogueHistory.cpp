#include "history/HistoryChecker.h"

#include <algorithm>
#include <map>
#include <tuple>

/// The checks of the catalogue: each record is a register, and each host reads it all the time.
namespace Carawaymill {

HistoryChecker::Violations HistoryChecker::checkCatalogue() const
{
    Violations violations;
    for (const EditSeen &edit : m_history.edits) {
        checkEdit(edit, violations);
    }
    checkReverts(violations);
    checkEditRaces(violations);
    return violations;
}

/// Once a host has been connected for the bound since the edit, it has that revision or a newer one in force.
void HistoryChecker::checkEdit(const EditSeen &edit, Violations &violations) const
{
    for (const ConnectedPeriod &period : m_history.connected) {
        const TimePoint due = std::max(edit.acceptedAt, period.from) + m_bounds.editBound;
        if (due > period.to) {
            continue;
        }
        const bool inForce = std::ranges::any_of(m_history.revisions, [&](const RevisionSeen &seen) {
            return seen.host == period.host && seen.life == period.life && seen.key == edit.key && seen.at <= due
                   && seen.revision >= edit.revision;
        });
        if (!inForce) {
            violations.push_back(EditLate{.host = period.host, .key = edit.key, .revision = edit.revision});
        }
    }
}

void HistoryChecker::checkReverts(Violations &violations) const
{
    std::map<std::tuple<HostId, IncarnationNumber, std::string>, Revision> newest;
    std::map<std::pair<std::string, Revision>, std::string> values;
    for (const RevisionSeen &seen : m_history.revisions) {
        Revision &known = newest[{seen.host, seen.life, seen.key}];
        if (seen.revision < known) {
            violations.push_back(
                RevisionReverted{.host = seen.host, .key = seen.key, .from = known, .to = seen.revision});
        }
        known = std::max(known, seen.revision);
        const auto [value, isNew] = values.try_emplace({seen.key, seen.revision}, seen.value);
        if (!isNew && value->second != seen.value) {
            violations.push_back(RevisionAmbiguous{.key = seen.key, .revision = seen.revision});
        }
    }
}

void HistoryChecker::checkEditRaces(Violations &violations) const
{
    std::map<std::pair<std::string, Revision>, Revision> successors;
    for (const EditSeen &edit : m_history.edits) {
        const auto [successor, isNew] = successors.try_emplace({edit.key, edit.expected}, edit.revision);
        if (!isNew && successor->second != edit.revision) {
            violations.push_back(EditsBothAccepted{.key = edit.key, .expected = edit.expected});
        }
    }
}

} // namespace Carawaymill
