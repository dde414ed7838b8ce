#pragma once

#include "node/DecisionLog.h"
#include "node/NodeMessages.h"
#include "node/Problem.h"

#include <string>
#include <utility>
#include <vector>

namespace Carawaymill {

/// Collects the actions that result from one event, and records decisions about jobs in the decision log.
class NodeOutput
{
public:
    explicit NodeOutput(DecisionLog &decisions)
        : m_decisions(decisions)
    {
    }

    void add(NodeAction action) { m_actions.push_back(std::move(action)); }

    void log(std::string line) { add(WriteLog{std::move(line)}); }

    /// Logs a line and records it in the job's decision log.
    void logDecision(const JobId &job, std::string line)
    {
        m_decisions.append(job, line);
        log(std::move(line));
    }

    void respond(RequestId request, HttpResponse response)
    {
        add(Respond{.id = request, .response = std::move(response)});
    }

    void refuse(RequestId request, const Problem &problem) { respond(request, problemResponse(problem)); }

    [[nodiscard]] std::vector<NodeAction> take() { return std::move(m_actions); }

private:
    DecisionLog &m_decisions;
    std::vector<NodeAction> m_actions;
};

} // namespace Carawaymill
