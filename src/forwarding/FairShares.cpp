#include "forwarding/FairShares.h"

#include <algorithm>

namespace Carawaymill {

double FairShares::startTag(const OrganisationId &organisation, double waitingWork) const
{
    const auto found = m_ends.find(organisation);
    return (found == m_ends.end() ? m_virtualTime : std::max(m_virtualTime, found->second)) + waitingWork;
}

void FairShares::started(const OrganisationId &organisation, double work)
{
    const double tag = startTag(organisation, 0);
    m_virtualTime = tag;
    m_ends.insert_or_assign(organisation, tag + work);
    std::erase_if(m_ends, [&](const auto &entry) { return entry.second <= m_virtualTime; });
}

} // namespace Carawaymill
