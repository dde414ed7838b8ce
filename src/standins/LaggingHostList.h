#pragma once

#include "hostlist/HostListMessages.h"
#include "support/Time.h"

#include <deque>

namespace Carawaymill {

/// Stand-in for the platform's host list: a change shows only after a set lag.
class LaggingHostList
{
public:
    explicit LaggingHostList(Duration lag)
        : m_lag(lag)
    {
    }

    /// The true list from now on.
    void change(HostListRead list, TimePoint now);

    /// The list as it was one lag ago; the first list shows at once.
    [[nodiscard]] const HostListRead &read(TimePoint now);

private:
    struct Version
    {
        HostListRead list;
        TimePoint since;
    };

    Duration m_lag;
    HostListRead m_shown;
    bool m_hasShown = false;
    std::deque<Version> m_coming;
};

} // namespace Carawaymill
