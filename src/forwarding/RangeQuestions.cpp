#include "forwarding/RangeQuestions.h"

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

std::string describe(const RangeUnanswered &unanswered)
{
    return "Relay: event=passed-over host=" + unanswered.host.value() + " range=" + rangeName(unanswered.range)
           + " reason=" + (unanswered.silent ? "silent" : "not-known");
}

std::optional<SendRangeMessage>
RangeQuestions::ask(RelayedRange range, const KeyValueCall &call, const std::optional<HostId> &host, TimePoint now)
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
    return SendRangeMessage{
        .to = *host, .message = RangeAsked{.number = m_last, .range = range, .after = watch->after, .wait = wait}};
}

std::optional<RangeAnswered> RangeQuestions::told(const HostId &from, RangeTold told)
{
    const auto open = m_open.find(told.number);
    if (open == m_open.end() || open->second.host != from || open->second.range != told.range) {
        return std::nullopt;
    }
    RangeAnswered answered{.range = told.range,
                           .reply = {.id = open->second.call.id,
                                     .result = RangeChanged{.written = std::move(told.written),
                                                            .deletedKeys = std::move(told.deletedKeys),
                                                            .storeRevision = told.revision},
                                     .age = told.age}};
    m_open.erase(open);
    return answered;
}

std::optional<RangeUnanswered>
RangeQuestions::notKnown(const HostId &from, const RangeNotKnown &notKnown, TimePoint now)
{
    const auto open = m_open.find(notKnown.number);
    if (open == m_open.end() || open->second.host != from) {
        return std::nullopt;
    }
    m_mutedUntil[{from, open->second.range}] = now + m_options.muteTime;
    RangeUnanswered unanswered{
        .host = from, .silent = false, .range = open->second.range, .call = std::move(open->second.call)};
    m_open.erase(open);
    return unanswered;
}

std::vector<RangeUnanswered> RangeQuestions::takeOverdue(TimePoint now)
{
    std::vector<RangeUnanswered> overdue;
    std::erase_if(m_open, [&](const auto &entry) {
        const Question &question = entry.second;
        if (now < question.deadline) {
            return false;
        }
        m_mutedUntil[{question.host, question.range}] = now + m_options.muteTime;
        overdue.push_back({.host = question.host, .silent = true, .range = question.range, .call = question.call});
        return true;
    });
    return overdue;
}

} // namespace Carawaymill
