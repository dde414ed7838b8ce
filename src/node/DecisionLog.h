#pragma once

#include "support/Identifiers.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Carawaymill {

/// Keeps the decision lines of the latest jobs, so that operators can find out why a job ran on its targets.
class DecisionLog
{
public:
    explicit DecisionLog(std::size_t jobLimit = 2048)
        : m_jobLimit(jobLimit)
    {
    }

    /// Appends a line to a job; evicts the oldest job when there are more than `jobLimit`.
    void append(const JobId &job, const std::string &line);

    /// The job's lines in order; empty when the job is unknown or was evicted.
    [[nodiscard]] std::vector<std::string> linesOf(const JobId &job) const;

private:
    std::size_t m_jobLimit;
    std::deque<JobId> m_order;
    std::unordered_map<JobId, std::vector<std::string>> m_lines;
};

} // namespace Carawaymill
