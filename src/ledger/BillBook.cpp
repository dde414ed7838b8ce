#include "ledger/BillBook.h"

#include "support/ArrayCodec.h"

#include <algorithm>

namespace Carawaymill {

std::size_t BillBook::record(const BillsReported &report, LedgerPeriod period)
{
    if (report.bills.empty() || report.first == BillSequence(0)) {
        return 0;
    }
    Mark &mark = m_streams[report.stream];
    // A sender begins with its first bill that is not acknowledged, so everything before was recorded.
    mark.through = std::max(mark.through, report.first - BillSequence(1));
    mark.lastPeriod = period;
    std::size_t counted = 0;
    BillSequence sequence = report.first;
    for (const Bill &bill : report.bills) {
        if (sequence > mark.through) {
            mark.through = sequence;
            addUsage(m_totals[{bill.organisation, bill.period}],
                     {.jobs = 1, .tokens = bill.tokens, .price = bill.price});
            ++counted;
        }
        sequence = sequence.next();
    }
    return counted;
}

BillSequence BillBook::recordedThrough(const HostLife &stream) const
{
    const auto mark = m_streams.find(stream);
    return mark == m_streams.end() ? BillSequence(0) : mark->second.through;
}

std::vector<std::pair<BillBook::UsageId, UsageTotal>> BillBook::takeTotals(std::size_t limit)
{
    std::vector<std::pair<UsageId, UsageTotal>> taken;
    while (!m_totals.empty() && taken.size() < limit) {
        taken.emplace_back(*m_totals.begin());
        m_totals.erase(m_totals.begin());
    }
    return taken;
}

void BillBook::forgetStreamsBefore(LedgerPeriod first)
{
    std::erase_if(m_streams, [&](const auto &stream) { return stream.second.lastPeriod < first; });
}

void to_json(nlohmann::json &json, const BillBook &book)
{
    auto streams = nlohmann::json::array();
    for (const auto &[stream, mark] : book.m_streams) {
        streams.push_back(nlohmann::json::array({stream, mark.through, mark.lastPeriod}));
    }
    auto totals = nlohmann::json::array();
    for (const auto &[usage, total] : book.m_totals) {
        totals.push_back(nlohmann::json::array({usage.first, usage.second, total}));
    }
    json = nlohmann::json::array({streams, totals});
}

void from_json(const nlohmann::json &json, BillBook &book)
{
    book = {};
    for (const auto &element : json.at(0)) {
        HostLife stream;
        BillBook::Mark mark;
        readArray(element, 0, stream, mark.through, mark.lastPeriod);
        book.m_streams[stream] = mark;
    }
    for (const auto &element : json.at(1)) {
        BillBook::UsageId usage;
        UsageTotal total;
        readArray(element, 0, usage.first, usage.second, total);
        book.m_totals[usage] = total;
    }
}

} // namespace Carawaymill
