#pragma once

#include "support/Identifiers.h"

#include <map>

namespace Carawaymill {

/// Start-time fair queueing between organisations of equal weight.
///
/// An organisation's next request gets a start tag: the virtual time, or the end of the work that the organisation has
/// started since, whichever is later. Requests start in the order of their tags, so that an organisation with many
/// requests does not delay the few of another one. An organisation that was idle gets no credit for that.
class FairShares
{
public:
    /// The start tag of the organisation's next request, after further waiting ones of it with work of `waitingWork`.
    [[nodiscard]] double startTag(const OrganisationId &organisation, double waitingWork) const;

    /// Records that a request of the organisation started.
    void started(const OrganisationId &organisation, double work);

private:
    /// Start tag of the last request that started.
    double m_virtualTime = 0;
    /// Ends of the work of organisations that are ahead of the virtual time.
    std::map<OrganisationId, double> m_ends;
};

} // namespace Carawaymill
