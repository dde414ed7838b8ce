#pragma once

#include "forwarding/RelayedWatchMessages.h"
#include "support/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

struct RelayedWatchServerOptions
{
    /// What was confirmed longer ago is not passed on: the asking host may reach the service though this one does not.
    /// Twice the wait of the range's watch, and the time that a slow service takes to answer.
    Duration maximumConfigurationAge = 2s;
    Duration maximumDirectoryAge = 2800ms;
    Duration maximumHostsAge = 6500ms;
    /// Changes are kept so long for hosts that have not heard of them.
    Duration history = 20s;
    /// Larger answers would fill a host's link when many ask at once: each host reads these from the service.
    std::size_t maximumBytes = 131'072;
};

/// A call that this host has made at the service.
struct RangeCall
{
    RelayedRange range = RelayedRange::Configuration;
    CallId id;
    /// Revision after which changes were asked for; nothing where the whole range was.
    std::optional<Revision> after;
    TimePoint sentAt;
};

/// Answers other hosts' questions for changes of a range from what this host's own watches bring, so that one host's
/// watches serve a whole failure domain.
class RelayedWatchServer
{
public:
    explicit RelayedWatchServer(RelayedWatchServerOptions options)
        : m_options(options)
    {
    }

    /// The service has answered this host's own call.
    [[nodiscard]] std::vector<SendRangeWatchMessage>
    recordServiceReply(const RangeCall &call, const KeyValueResult &result, TimePoint now);

    [[nodiscard]] std::vector<SendRangeWatchMessage>
    handleRequest(const HostId &from, const RangeWatchRequest &asked, TimePoint now);

    /// Answers those that have waited for as long as they asked to.
    [[nodiscard]] std::vector<SendRangeWatchMessage> tick(TimePoint now);

private:
    /// The changes between two revisions.
    struct Changes
    {
        Revision through;
        std::vector<KeyValueRecord> written;
        std::vector<std::string> deletedKeys;
        TimePoint at;
    };

    struct Known
    {
        /// Nothing is known of changes up to here.
        Revision begin;
        Revision revision;
        TimePoint confirmedAt;
        std::deque<Changes> changes;
    };

    struct Question
    {
        HostId from;
        RangeWatchRequest asked;
        TimePoint arrivedAt;
    };

    [[nodiscard]] Duration maximumAge(RelayedRange range) const;
    void take(const RangeCall &call, const RangeChanged &changed, TimePoint now);
    [[nodiscard]] std::vector<SendRangeWatchMessage> answerDue(TimePoint now);
    /// Nothing while the question has to wait.
    [[nodiscard]] std::optional<RangeWatchMessage> answer(const Question &question, TimePoint now) const;

    RelayedWatchServerOptions m_options;
    std::map<RelayedRange, Known> m_known;
    std::vector<Question> m_waiting;
};

} // namespace Carawaymill
