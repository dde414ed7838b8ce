#pragma once

#include "history/History.h"
#include "node/tests/NodeSimulation.h"

#include <map>
#include <string>
#include <tuple>

namespace Carawaymill {

/// Callers put their request's number into this header, so that a run at a service shows whose it is.
inline constexpr const char *requestNumberHeader = "X-Request-Number";

/// Writes down what happens in a `NodeSimulation` as a `History`.
class HistoryRecorder
{
public:
    /// `world` must outlive the recorder.
    explicit HistoryRecorder(NodeSimulation &world)
        : m_world(world)
    {
    }

    /// Notes what the hosts have in force and which of them are connected; to be called every few milliseconds.
    void sample();
    void departureShown(std::variant<HostId, TargetId> who);
    void shutdownAsked(const std::string &host);
    /// The host has finished its requests and its process is ended now.
    void shutdownEnded(const std::string &host);
    /// The request is an edit of this record, which replaces this revision.
    void editAsked(std::size_t call, const std::string &key, Revision expected);

    void limit(LimitSeen limit) { m_history.limits.push_back(std::move(limit)); }

    /// `call` asked for the usage of the organisation, after everything had settled.
    void usageAsked(std::size_t call, const OrganisationId &organisation);

    /// The whole history up to now.
    [[nodiscard]] History finish();

private:
    struct Edit
    {
        std::string key;
        Revision expected;
    };

    [[nodiscard]] bool isConnected(const std::string &host) const;
    void sampleCatalogue(const std::string &host, IncarnationNumber life);
    void sampleConnection(const std::string &host, IncarnationNumber life, bool connected);
    void addRequest(std::size_t call, const CallerView &view);
    void addEdits();
    void addRuns();

    NodeSimulation &m_world;
    History m_history;
    std::map<std::string, std::uint64_t> m_stateHashes;
    std::map<std::tuple<std::string, IncarnationNumber, std::string>, Revision> m_revisions;
    std::map<std::string, ConnectedPeriod> m_connected;
    std::map<std::size_t, Edit> m_edits;
};

} // namespace Carawaymill
