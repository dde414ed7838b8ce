#include "forwarding/RelayedWatchServer.h"

#include <algorithm>

namespace Carawaymill {

std::vector<SendRangeWatchMessage>
RelayedWatchServer::recordServiceReply(const RangeCall &call, const KeyValueResult &result, TimePoint now)
{
    m_inProgress.erase(call.range);
    m_failing.erase(call.range);
    if (const auto *read = std::get_if<RangeRead>(&result)) {
        m_ranges[call.range] = {
            .begin = read->storeRevision, .revision = read->storeRevision, .confirmedAt = call.sentAt, .changes = {}};
    } else if (const auto *changed = std::get_if<RangeChanged>(&result)) {
        applyUnlessOlder(call, *changed, now);
    } else if (std::holds_alternative<WatchCompacted>(result)) {
        m_ranges.erase(call.range);
    } else {
        m_failing.insert(call.range);
    }
    return respondDue(now);
}

std::vector<SendRangeWatchMessage> RelayedWatchServer::recordFailure(RelayedRange range, TimePoint now)
{
    m_inProgress.erase(range);
    return respondDue(now);
}

std::vector<SendRangeWatchMessage>
RelayedWatchServer::recordRelayedReply(const RangeCall &call, const RangeChanged &changed, TimePoint now)
{
    m_inProgress.erase(call.range);
    m_failing.erase(call.range);
    applyUnlessOlder(call, changed, now);
    return respondDue(now);
}

void RelayedWatchServer::applyUnlessOlder(const RangeCall &call, const RangeChanged &changed, TimePoint now)
{
    const auto cached = m_ranges.find(call.range);
    if (cached == m_ranges.end() || changed.storeRevision >= cached->second.revision) {
        apply(call, changed, now);
    }
}

void RelayedWatchServer::apply(const RangeCall &call, const RangeChanged &changed, TimePoint now)
{
    const Revision after = call.after.value_or(Revision());
    CachedRange &cached = m_ranges[call.range];
    if (after > cached.revision) {
        // This host received the changes up to `after` from another host and does not keep them.
        cached = {.begin = after, .revision = after, .confirmedAt = call.sentAt, .changes = {}};
    }
    cached.confirmedAt = std::max(cached.confirmedAt, call.sentAt);
    cached.revision = std::max(cached.revision, changed.storeRevision);
    if (!changed.written.empty() || !changed.deletedKeys.empty()) {
        cached.changes.push_back(
            {.through = cached.revision, .written = changed.written, .deletedKeys = changed.deletedKeys, .at = now});
    }
    while (!cached.changes.empty() && now - cached.changes.front().at > m_options.changeRetention) {
        cached.begin = cached.changes.front().through;
        cached.changes.pop_front();
    }
}

std::vector<SendRangeWatchMessage>
RelayedWatchServer::handleRequest(const HostId &from, const RangeWatchRequest &request, TimePoint now)
{
    m_pending.push_back({.from = from, .request = request, .arrivedAt = now});
    return respondDue(now);
}

std::vector<SendRangeWatchMessage> RelayedWatchServer::storeEraChanged(const StoreEraChanged &change, TimePoint now)
{
    m_era = change.era;
    if (change.restored) {
        m_ranges.clear();
        m_inProgress.clear();
        m_failing.clear();
    }
    return respondDue(now);
}

std::vector<SendRangeWatchMessage> RelayedWatchServer::tick(TimePoint now)
{
    return respondDue(now);
}

std::vector<SendRangeWatchMessage> RelayedWatchServer::respondDue(TimePoint now)
{
    std::vector<SendRangeWatchMessage> responses;
    std::erase_if(m_pending, [&](const PendingRequest &pending) {
        auto message = respond(pending, now);
        if (message) {
            responses.push_back({.to = pending.from, .message = std::move(*message)});
        }
        return message.has_value();
    });
    return responses;
}

bool RelayedWatchServer::waitsForCall(const PendingRequest &pending, TimePoint now) const
{
    const auto call = m_inProgress.find(pending.request.range);
    // Two hosts that ask each other would both wait in vain.
    return call != m_inProgress.end() && call->second != pending.from && now - pending.arrivedAt < pending.request.wait;
}

std::optional<RangeWatchMessage> RelayedWatchServer::respond(const PendingRequest &pending, TimePoint now) const
{
    const RangeWatchRequest &request = pending.request;
    const auto found = m_ranges.find(request.range);
    const bool isKnown = found != m_ranges.end();
    // While this host's calls fail, another host may still reach the service, and has to be asked before the view of
    // the requesting host is too old.
    if (m_failing.contains(request.range) || request.era != m_era || (isKnown && request.after < found->second.begin)) {
        return RangeWatchUnavailable{.number = request.number};
    }
    if (!isKnown || now - found->second.confirmedAt > m_options.maximumAges.of(request.range)) {
        return waitsForCall(pending, now) ? std::nullopt
                                          : std::optional<RangeWatchMessage>(RangeWatchUnavailable{request.number});
    }
    const CachedRange &cached = found->second;
    // Later changes of a key replace earlier ones.
    std::map<std::string, std::optional<KeyValueRecord>> latest;
    std::size_t bytes = 0;
    for (const Changes &changes : cached.changes) {
        if (changes.through <= request.after) {
            continue;
        }
        for (const std::string &key : changes.deletedKeys) {
            latest.insert_or_assign(key, std::nullopt);
        }
        for (const KeyValueRecord &record : changes.written) {
            latest.insert_or_assign(record.key, record);
            bytes += record.key.size() + record.value.size();
        }
    }
    if (bytes > m_options.maximumResponseBytes) {
        return RangeWatchUnavailable{.number = request.number};
    }
    if (latest.empty() && now - pending.arrivedAt < request.wait) {
        return std::nullopt;
    }
    RangeWatchResponse response{.number = request.number,
                                .range = request.range,
                                .written = {},
                                .deletedKeys = {},
                                .revision = std::max(request.after, cached.revision),
                                .age = pending.arrivedAt - cached.confirmedAt,
                                .era = m_era};
    for (auto &[key, record] : latest) {
        if (record) {
            response.written.push_back(std::move(*record));
        } else {
            response.deletedKeys.push_back(key);
        }
    }
    return response;
}

} // namespace Carawaymill
