#pragma once

#include "support/Identifiers.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Carawaymill {

/// Keeps the decision lines of the latest jobs, so that an operator can ask why a job ran where it did.
class DecisionLog
{
public:
    explicit DecisionLog(std::size_t jobLimit = 2048)
        : m_jobLimit(jobLimit)
    {
    }

    /// Notes one line for a job; the oldest job is forgotten when there are too many.
    void append(const JobId &job, const std::string &line);

    /// The job's lines in order; none when the job is not known any more.
    [[nodiscard]] std::vector<std::string> linesOf(const JobId &job) const;

private:
    std::size_t m_jobLimit;
    std::deque<JobId> m_order;
    std::unordered_map<JobId, std::vector<std::string>> m_lines;
};

} // namespace Carawaymill
