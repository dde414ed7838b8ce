#include "forwarding/RelayedWatchServer.h"

#include <algorithm>

namespace Carawaymill {

Duration RelayedWatchServer::maximumAge(RelayedRange range) const
{
    switch (range) {
    case RelayedRange::Configuration:
        return m_options.maximumConfigurationAge;
    case RelayedRange::Directory:
        return m_options.maximumDirectoryAge;
    case RelayedRange::Hosts:
        break;
    }
    return m_options.maximumHostsAge;
}

std::vector<SendRangeWatchMessage>
RelayedWatchServer::recordServiceReply(const RangeCall &call, const KeyValueResult &result, TimePoint now)
{
    if (const auto *read = std::get_if<RangeRead>(&result)) {
        m_known[call.range] = {
            .begin = read->storeRevision, .revision = read->storeRevision, .confirmedAt = call.sentAt, .changes = {}};
    } else if (const auto *changed = std::get_if<RangeChanged>(&result)) {
        take(call, *changed, now);
    } else if (std::holds_alternative<WatchCompacted>(result)) {
        m_known.erase(call.range);
    }
    return answerDue(now);
}

void RelayedWatchServer::take(const RangeCall &call, const RangeChanged &changed, TimePoint now)
{
    const Revision after = call.after.value_or(Revision());
    Known &known = m_known[call.range];
    if (after > known.revision) {
        // This host received the changes up to `after` from another host and does not keep them.
        known = {.begin = after, .revision = after, .confirmedAt = call.sentAt, .changes = {}};
    }
    known.confirmedAt = call.sentAt;
    known.revision = std::max(known.revision, changed.storeRevision);
    if (!changed.written.empty() || !changed.deletedKeys.empty()) {
        known.changes.push_back(
            {.through = known.revision, .written = changed.written, .deletedKeys = changed.deletedKeys, .at = now});
    }
    while (!known.changes.empty() && now - known.changes.front().at > m_options.history) {
        known.begin = known.changes.front().through;
        known.changes.pop_front();
    }
}

std::vector<SendRangeWatchMessage>
RelayedWatchServer::handleRequest(const HostId &from, const RangeWatchRequest &asked, TimePoint now)
{
    m_waiting.push_back({.from = from, .asked = asked, .arrivedAt = now});
    return answerDue(now);
}

std::vector<SendRangeWatchMessage> RelayedWatchServer::tick(TimePoint now)
{
    return answerDue(now);
}

std::vector<SendRangeWatchMessage> RelayedWatchServer::answerDue(TimePoint now)
{
    std::vector<SendRangeWatchMessage> answers;
    std::erase_if(m_waiting, [&](const Question &question) {
        auto message = answer(question, now);
        if (message) {
            answers.push_back({.to = question.from, .message = std::move(*message)});
        }
        return message.has_value();
    });
    return answers;
}

std::optional<RangeWatchMessage> RelayedWatchServer::answer(const Question &question, TimePoint now) const
{
    const RangeWatchRequest &asked = question.asked;
    const auto found = m_known.find(asked.range);
    if (found == m_known.end() || now - found->second.confirmedAt > maximumAge(asked.range)
        || asked.after < found->second.begin) {
        return RangeWatchUnavailable{.number = asked.number};
    }
    const Known &known = found->second;
    // Later changes of a key replace earlier ones.
    std::map<std::string, std::optional<KeyValueRecord>> latest;
    std::size_t bytes = 0;
    for (const Changes &changes : known.changes) {
        if (changes.through <= asked.after) {
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
    if (bytes > m_options.maximumBytes) {
        return RangeWatchUnavailable{.number = asked.number};
    }
    if (latest.empty() && now - question.arrivedAt < asked.wait) {
        return std::nullopt;
    }
    RangeWatchResponse told{.number = asked.number,
                            .range = asked.range,
                            .written = {},
                            .deletedKeys = {},
                            .revision = std::max(asked.after, known.revision),
                            .age = question.arrivedAt - known.confirmedAt};
    for (auto &[key, record] : latest) {
        if (record) {
            told.written.push_back(std::move(*record));
        } else {
            told.deletedKeys.push_back(key);
        }
    }
    return told;
}

} // namespace Carawaymill
