#include "standins/LaggingHostList.h"

namespace Carawaymill {

void LaggingHostList::change(HostListRead list, TimePoint now)
{
    if (!m_hasShown) {
        m_shown = std::move(list);
        m_hasShown = true;
        return;
    }
    m_coming.push_back(Version{.list = std::move(list), .since = now});
}

const HostListRead &LaggingHostList::read(TimePoint now)
{
    while (!m_coming.empty() && m_coming.front().since + m_lag <= now) {
        m_shown = std::move(m_coming.front().list);
        m_coming.pop_front();
    }
    return m_shown;
}

} // namespace Carawaymill
