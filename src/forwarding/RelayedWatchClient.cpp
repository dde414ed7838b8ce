#include "forwarding/RelayedWatchClient.h"

#include <algorithm>

namespace Carawaymill {

static const char *rangeName(RelayedRange range)
{
    switch (range) {
    case RelayedRange::Configuration:
        return "configuration";
    case RelayedRange::Directory:
        return "directory";
    case RelayedRange::Hosts:
        break;
    }
    return "hosts";
}

std::string describe(const RelayedWatchFailed &unanswered)
{
    return "Relay: event=passed-over host=" + unanswered.host.value() + " range=" + rangeName(unanswered.range)
           + " reason=" + (unanswered.timedOut ? "silent" : "not-known");
}

std::optional<SendRangeWatchMessage> RelayedWatchClient::relay(RelayedRange range,
                                                               const KeyValueCall &call,
                                                               const std::optional<HostId> &host,
                                                               TimePoint now)
{
    const auto *watch = std::get_if<WatchRange>(&call.request);
    std::erase_if(m_mutedUntil, [&](const auto &entry) { return now >= entry.second; });
    if (watch == nullptr || !host || m_mutedUntil.contains({*host, range})) {
        return std::nullopt;
    }
    const Duration longest = range == RelayedRange::Configuration ? m_options.configurationWait : m_options.otherWait;
    const Duration wait = std::min(watch->wait, longest);
    ++m_last;
    m_open.emplace(
        m_last,
        Question{.host = *host, .range = range, .call = call, .deadline = now + wait + m_options.answerTimeout});
    return SendRangeWatchMessage{
        .to = *host,
        .message = RangeWatchRequest{.number = m_last, .range = range, .after = watch->after, .wait = wait}};
}

std::optional<RelayedWatchAnswered> RelayedWatchClient::handleResponse(const HostId &from, RangeWatchResponse told)
{
    const auto open = m_open.find(told.number);
    if (open == m_open.end() || open->second.host != from || open->second.range != told.range) {
        return std::nullopt;
    }
    RelayedWatchAnswered answered{.range = told.range,
                                  .reply = {.id = open->second.call.id,
                                            .result = RangeChanged{.written = std::move(told.written),
                                                                   .deletedKeys = std::move(told.deletedKeys),
                                                                   .storeRevision = told.revision},
                                            .age = told.age}};
    m_open.erase(open);
    return answered;
}

std::optional<RelayedWatchFailed>
RelayedWatchClient::handleUnavailable(const HostId &from, const RangeWatchUnavailable &notKnown, TimePoint now)
{
    const auto open = m_open.find(notKnown.number);
    if (open == m_open.end() || open->second.host != from) {
        return std::nullopt;
    }
    m_mutedUntil[{from, open->second.range}] = now + m_options.muteTime;
    RelayedWatchFailed unanswered{
        .host = from, .timedOut = false, .range = open->second.range, .call = std::move(open->second.call)};
    m_open.erase(open);
    return unanswered;
}

std::vector<RelayedWatchFailed> RelayedWatchClient::takeTimedOut(TimePoint now)
{
    std::vector<RelayedWatchFailed> overdue;
    std::erase_if(m_open, [&](const auto &entry) {
        const Question &question = entry.second;
        if (now < question.deadline) {
            return false;
        }
        m_mutedUntil[{question.host, question.range}] = now + m_options.muteTime;
        overdue.push_back({.host = question.host, .timedOut = true, .range = question.range, .call = question.call});
        return true;
    });
    return overdue;
}

} // namespace Carawaymill
