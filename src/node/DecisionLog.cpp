#include "node/DecisionLog.h"

namespace Carawaymill {

void DecisionLog::append(const JobId &job, const std::string &line)
{
    auto [found, isNew] = m_lines.try_emplace(job);
    found->second.push_back(line);
    if (!isNew) {
        return;
    }
    m_order.push_back(job);
    if (m_order.size() > m_jobLimit) {
        m_lines.erase(m_order.front());
        m_order.pop_front();
    }
}

std::vector<std::string> DecisionLog::linesOf(const JobId &job) const
{
    const auto found = m_lines.find(job);
    return found == m_lines.end() ? std::vector<std::string>() : found->second;
}

} // namespace Carawaymill
