#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"
#include "support/Units.h"
#include "support/Variant.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

/// One fetch of weights. Chosen by the caller; unique among the transfers in progress.
using WeightTransferId = StrongCount<struct WeightTransferIdTag, std::uint64_t>;

struct WeightStoreOptions
{
    /// Of all transfers together; shared equally among those in progress. Must be positive.
    ByteCount bytesPerSecond{1'000'000'000ULL};
    /// A further transfer is refused.
    std::size_t transfersAtOnce = 64;
};

/// The store has as many transfers in progress as it allows.
struct WeightStoreBusy
{
    /// When the first of them ends, if no other is cancelled.
    Duration retryAfter{};
};

/// Stand-in for the platform's rate-limited weight store, without input and output.
class WeightStore
{
public:
    explicit WeightStore(WeightStoreOptions options);

    /// Starts to fetch `size` bytes. `now` must not fall from call to call.
    [[nodiscard]] Result<Done, WeightStoreBusy> start(WeightTransferId id, ByteCount size, TimePoint now);

    /// Ends a transfer that is no longer wanted; the others get its share of the rate. Unknown ids are ignored.
    void cancel(WeightTransferId id, TimePoint now);

    /// The transfers that have ended since the last call, in the order in which they ended.
    [[nodiscard]] std::vector<WeightTransferId> takeFinished(TimePoint now);

    /// When the next transfer ends, if none is started or cancelled before.
    [[nodiscard]] std::optional<TimePoint> nextFinish() const;

    [[nodiscard]] std::size_t inProgress() const { return m_remainingBytes.size(); }

private:
    void advance(TimePoint now);
    [[nodiscard]] std::map<WeightTransferId, double>::const_iterator smallest() const;

    WeightStoreOptions m_options;
    std::map<WeightTransferId, double> m_remainingBytes;
    std::vector<WeightTransferId> m_finished;
    TimePoint m_advancedTo;
};

} // namespace Carawaymill
