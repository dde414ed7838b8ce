#include "forwarding/RelayedWatchClient.h"

#include <algorithm>
#include <set>

namespace Carawaymill {

std::string describe(const RelayedWatchFailed &failed)
{
    return "Relay: event=passed-over host=" + failed.host.value() + " range=" + rangeName(failed.range)
           + " reason=" + (failed.timedOut ? "silent" : "not-known");
}

std::optional<SendRangeWatchMessage> RelayedWatchClient::relay(
    RelayedRange range, const KeyValueCall &call, const HostId &host, TimePoint now, const RelayTerms &terms)
{
    const auto *watch = std::get_if<WatchRange>(&call.request);
    const auto confirmedAt = m_confirmedAt.find(range);
    if (watch == nullptr || confirmedAt == m_confirmedAt.end()) {
        return std::nullopt;
    }
    const Duration longest = range == RelayedRange::Configuration ? m_options.configurationWait : m_options.defaultWait;
    // If the host stops responding, the request times out before the confirmation is too old.
    const Duration untilTooOld = confirmedAt->second + m_options.maximumAges.of(range) - now;
    Duration responseTimeout = m_options.responseTimeout;
    if (terms.failures > 0 && untilTooOld < responseTimeout + m_options.minimumWait) {
        responseTimeout = m_options.lastResponseTimeout;
    }
    const Duration remaining = untilTooOld - responseTimeout;
    Duration wait = std::min({watch->wait, longest, remaining});
    if (terms.hasSuccessor) {
        wait = std::min(wait, std::max(remaining - m_options.successorReserve, m_options.waitBeforeSuccessor));
    }
    if (wait < m_options.minimumWait) {
        return std::nullopt;
    }
    ++m_last;
    m_pending.emplace(m_last,
                      PendingRequest{.host = host,
                                     .range = range,
                                     .call = call,
                                     .failures = terms.failures,
                                     .firstSentAt = terms.firstSentAt.value_or(now),
                                     .sentAt = now,
                                     .deadline = now + wait + responseTimeout});
    return SendRangeWatchMessage{
        .to = host,
        .message =
            RangeWatchRequest{.number = m_last, .range = range, .after = watch->after, .wait = wait, .era = m_era}};
}

void RelayedWatchClient::recordConfirmed(RelayedRange range, TimePoint at)
{
    const auto known = m_confirmedAt.try_emplace(range, at).first;
    known->second = std::max(known->second, at);
}

bool RelayedWatchClient::isConfirmed(RelayedRange range, TimePoint now) const
{
    const auto confirmedAt = m_confirmedAt.find(range);
    return confirmedAt != m_confirmedAt.end() && now - confirmedAt->second <= m_options.maximumAges.of(range);
}

void RelayedWatchClient::dropPending(RelayedRange range)
{
    std::erase_if(m_pending, [&](const auto &entry) { return entry.second.range == range; });
}

bool RelayedWatchFailed::isObsolete(TimePoint now) const
{
    const auto *watch = std::get_if<WatchRange>(&call.request);
    return watch != nullptr && now - firstSentAt >= watch->wait + call.timeout;
}

void RelayedWatchClient::storeEraChanged(const StoreEraChanged &change)
{
    m_era = change.era;
    if (change.restored) {
        m_pending.clear();
        m_confirmedAt.clear();
    }
}

std::optional<RelayedWatchAnswered> RelayedWatchClient::handleResponse(const HostId &from, RangeWatchResponse response)
{
    const auto pending = m_pending.find(response.number);
    // A response of another or an unknown era is ignored; the request then times out and the service is asked.
    if (pending == m_pending.end() || pending->second.host != from || pending->second.range != response.range
        || response.era != m_era) {
        return std::nullopt;
    }
    RelayedWatchAnswered answered{.range = response.range,
                                  .reply = {.id = pending->second.call.id,
                                            .result = RangeChanged{.written = std::move(response.written),
                                                                   .deletedKeys = std::move(response.deletedKeys),
                                                                   .storeRevision = response.revision},
                                            .age = response.age,
                                            .era = response.era}};
    answered.answered = {.range = response.range,
                         .id = pending->second.call.id,
                         .after = std::get<WatchRange>(pending->second.call.request).after,
                         .sentAt = pending->second.sentAt - response.age};
    recordConfirmed(response.range, answered.answered.sentAt);
    m_pending.erase(pending);
    return answered;
}

std::optional<RelayedWatchFailed> RelayedWatchClient::handleUnavailable(const HostId &from,
                                                                        const RangeWatchUnavailable &unavailable)
{
    const auto pending = m_pending.find(unavailable.number);
    if (pending == m_pending.end() || pending->second.host != from) {
        return std::nullopt;
    }
    RelayedWatchFailed failed{.host = from,
                              .timedOut = false,
                              .range = pending->second.range,
                              .call = std::move(pending->second.call),
                              .failures = pending->second.failures + 1,
                              .firstSentAt = pending->second.firstSentAt};
    m_pending.erase(pending);
    return failed;
}

std::vector<RelayedWatchFailed> RelayedWatchClient::takeTimedOut(TimePoint now)
{
    std::set<HostId> silent;
    for (const auto &[number, request] : m_pending) {
        if (now >= request.deadline) {
            silent.insert(request.host);
        }
    }
    std::vector<RelayedWatchFailed> overdue;
    std::erase_if(m_pending, [&](const auto &entry) {
        const PendingRequest &request = entry.second;
        if (!silent.contains(request.host)) {
            return false;
        }
        overdue.push_back({.host = request.host,
                           .timedOut = true,
                           .range = request.range,
                           .call = request.call,
                           .failures = request.failures + 1,
                           .firstSentAt = request.firstSentAt});
        return true;
    });
    return overdue;
}

} // namespace Carawaymill
