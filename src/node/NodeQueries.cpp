#include "node/Node.h"

/// Responses to operators' queries.
namespace Carawaymill {

void Node::handleQuery(const AdministrationQuery &query, NodeContext &context)
{
    AdministrationAnswer answer{.id = query.id, .result = AdministrationSubjectUnknown{}};
    switch (query.kind) {
    case AdministrationQueryKind::Status:
        answer.result = statusReport(context.now);
        break;
    case AdministrationQueryKind::Decisions:
        if (const auto lines = m_decisions.linesOf(JobId(query.argument)); !lines.empty()) {
            answer.result = nlohmann::json{{"job", query.argument}, {"decisions", lines}};
        }
        break;
    case AdministrationQueryKind::Drain:
        if (query.argument == m_options.host.value()) {
            on(DrainRequested{}, context);
            answer.result = nlohmann::json{{"host", query.argument}, {"draining", true}};
        }
        break;
    case AdministrationQueryKind::Usage:
        readUsage(query, context);
        return;
    case AdministrationQueryKind::Suspects:
        answer.result = m_calls.suspects();
        break;
    case AdministrationQueryKind::LiftSuspect:
        if (m_calls.liftSuspect(query.argument, m_ledger, context)) {
            answer.result = nlohmann::json{{"lifted", query.argument}};
        }
        break;
    }
    dispatchAdministration(answer, context);
}

nlohmann::json Node::statusReport(TimePoint now) const
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const Member &member : m_fleet.members()) {
        hosts.push_back({{"host", member.host},
                         {"state", memberStateName(member.state)},
                         {"failureDomain", member.profile.failureDomain}});
    }
    nlohmann::json targets = nlohmann::json::array();
    for (const TargetId &target : m_targets.targets()) {
        nlohmann::json held = nlohmann::json::array();
        if (const EngineState *state = m_targets.state(target)) {
            held = state->held;
        }
        targets.push_back(
            {{"target", target}, {"availability", availabilityName(m_targets.availability(target))}, {"held", held}});
    }
    return {{"host", m_options.host},
            {"ready", ready(now)},
            {"draining", m_draining},
            {"requestsInProgress", requestsInProgress()},
            {"unrecordedBills", m_ledger.unrecordedBills()},
            {"placementRegionsHeld", placementRegionsHeld(now)},
            {"ledgerShardsServed", m_ledger.shardsServed()},
            {"hosts", hosts},
            {"targets", targets}};
}

void Node::readUsage(const AdministrationQuery &query, NodeContext &context)
{
    m_lastUsageCall = m_lastUsageCall.next();
    m_usageQueries.emplace(m_lastUsageCall, query.id);
    m_keyValue.issue(KeyValueCaller::Usage,
                     0,
                     {.id = m_lastUsageCall, .request = ReadRange{"usage/" + query.argument + "/"}},
                     context.output);
}

/// Sums the usage records that the ledger's shards keep for one organisation, by period.
///
/// The keys end in `/{period}/{shard}`. Records that cannot be decoded are skipped.
static nlohmann::json usageByPeriod(const std::vector<KeyValueRecord> &records)
{
    std::map<std::string, UsageTotal> totals;
    for (const KeyValueRecord &record : records) {
        const std::size_t shard = record.key.rfind('/');
        const std::size_t period = record.key.rfind('/', shard - 1);
        const auto parsed = parseJson(record.value);
        const auto *json = std::get_if<nlohmann::json>(&parsed);
        const auto total =
            json == nullptr ? Result<UsageTotal, DecodeFailure>(DecodeFailure{}) : decode<UsageTotal>(*json);
        if (const auto *read = std::get_if<UsageTotal>(&total)) {
            addUsage(totals[record.key.substr(period + 1, shard - period - 1)], *read);
        }
    }
    nlohmann::json periods = nlohmann::json::object();
    for (const auto &[period, total] : totals) {
        periods[period] = {{"jobs", total.jobs}, {"tokens", total.tokens}, {"microPrice", total.price}};
    }
    return periods;
}

AdministrationAnswer Node::usageResponse(const KeyValueReply &reply)
{
    const auto query = m_usageQueries.extract(reply.id);
    AdministrationAnswer answer{.id = query.mapped(), .result = AdministrationUnavailable{}};
    if (const auto *range = std::get_if<RangeRead>(&reply.result)) {
        answer.result = nlohmann::json{{"periods", usageByPeriod(range->records)}};
    }
    return answer;
}

} // namespace Carawaymill
