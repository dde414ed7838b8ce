#include "forwarding/PromptBacklog.h"

#include "support/Seconds.h"

#include <algorithm>

namespace Carawaymill {

bool PromptBacklog::mayWait(TimePoint since, Duration latencyObjective, TimePoint now) const
{
    return now - since < longestWait(latencyObjective);
}

void PromptBacklog::sent(RequestId id, const std::string &attempt, std::uint64_t promptTokens, TimePoint now)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end()) {
        return;
    }
    if (!m_loggedAt || now - *m_loggedAt >= m_options.logInterval) {
        m_loggedAt = now;
        m_log.push_back("Forward: event=long-prompt request=" + attempt + " tokens=" + std::to_string(promptTokens)
                        + " waited_ms=" + std::to_string(wholeMilliseconds(now - found->second)));
    }
    m_waiting.erase(found);
}

std::vector<RequestId> PromptBacklog::waiting() const
{
    std::vector<std::pair<TimePoint, RequestId>> waiting;
    waiting.reserve(m_waiting.size());
    for (const auto &[id, since] : m_waiting) {
        waiting.emplace_back(since, id);
    }
    std::ranges::sort(waiting);
    std::vector<RequestId> ids;
    ids.reserve(waiting.size());
    for (const auto &[since, id] : waiting) {
        ids.push_back(id);
    }
    return ids;
}

} // namespace Carawaymill
