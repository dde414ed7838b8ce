#pragma once

#include "history/History.h"
#include "history/Violations.h"

#include <set>
#include <utility>
#include <vector>

namespace Carawaymill {

/// The bounds that the promises name.
struct HistoryBounds
{
    /// A leaving host or target may be given new work for so long after the host list shows that it leaves.
    Duration departureBound = 5s;
    /// An accepted edit is in force on every connected host after this.
    Duration editBound = 4s;
    /// A request without an answer after this is lost.
    Duration answerBound = 125s;
};

/// Decides from a history alone whether the promises were kept. Knows nothing of how the product works.
class HistoryChecker
{
public:
    using Violations = std::vector<Violation>;

    /// `history` must outlive the checker.
    HistoryChecker(const History &history, HistoryBounds bounds)
        : m_history(history)
        , m_bounds(bounds)
    {
    }

    /// Every layer runs exactly once for each token of an answer, and in order.
    [[nodiscard]] Violations checkLayers() const;
    /// Callers get the whole answer to their own request, or a problem.
    [[nodiscard]] Violations checkAnswers() const;
    /// What is said not to have run did not run.
    [[nodiscard]] Violations checkNotRun() const;
    /// Calls that are not idempotent run at most once.
    [[nodiscard]] Violations checkAtMostOnce() const;
    /// Leaving hosts and targets get no new work after the bound.
    [[nodiscard]] Violations checkDepartures() const;
    /// A graceful shutdown cuts nothing.
    [[nodiscard]] Violations checkShutdowns() const;
    /// Accepted edits are in force in time and never revert.
    [[nodiscard]] Violations checkCatalogue() const;
    /// Limits are passed by no more than their stated error.
    [[nodiscard]] Violations checkLimits() const;
    /// Each answered model job is billed once, and nothing else is.
    [[nodiscard]] Violations checkBills() const;

    [[nodiscard]] Violations checkAll() const;

private:
    /// Whether a target was given the request, by the targets' own logs.
    [[nodiscard]] bool reachedTarget(const RequestSeen &request) const;

    /// What ran for one job.
    using Runs = std::set<std::pair<TokenPosition, LayerIndex>>;

    void checkStreams(Violations &violations) const;
    static void
    checkCoverage(const RequestSeen &request, const ModelAsk &ask, const Runs &runs, Violations &violations);
    void checkEdit(const EditSeen &edit, Violations &violations) const;
    void checkReverts(Violations &violations) const;
    void checkEditRaces(Violations &violations) const;
    void checkLimit(const LimitSeen &limit, Violations &violations) const;

    const History &m_history;
    HistoryBounds m_bounds;
};

} // namespace Carawaymill
