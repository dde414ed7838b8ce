#pragma once

#include "ledger/LedgerMessages.h"

#include <map>
#include <utility>
#include <vector>

namespace Carawaymill {

/// The bills of one shard: how far each stream is recorded, and sums that are not yet in the usage records.
///
/// It is one record of the key-value service, so that a bill's sum and the mark that it was counted change together.
class BillBook
{
public:
    using UsageId = std::pair<OrganisationId, BillingPeriod>;

    /// Counts the bills that were not counted before. Returns their number.
    std::size_t record(const BillsReported &report, LedgerPeriod period);

    /// The last recorded bill of the stream; 0 if there is none.
    [[nodiscard]] BillSequence recordedThrough(const HostLife &stream) const;

    /// Takes out up to `limit` sums, to be added to usage records in the same commit.
    [[nodiscard]] std::vector<std::pair<UsageId, UsageTotal>> takeTotals(std::size_t limit);

    [[nodiscard]] bool hasTotals() const { return !m_totals.empty(); }

    /// Forgets streams without a bill since before `first`.
    void forgetStreamsBefore(LedgerPeriod first);

    friend void to_json(nlohmann::json &json, const BillBook &book);
    friend void from_json(const nlohmann::json &json, BillBook &book);

private:
    struct Mark
    {
        BillSequence through;
        LedgerPeriod lastPeriod;
    };

    std::map<HostLife, Mark> m_streams;
    std::map<UsageId, UsageTotal> m_totals;
};

} // namespace Carawaymill
