#include "standins/WeightStore.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace Carawaymill {

WeightStore::WeightStore(WeightStoreOptions options)
    : m_options(options)
{
    assert(m_options.bytesPerSecond.value() > 0);
}

Result<Done, WeightStoreBusy> WeightStore::start(WeightTransferId id, ByteCount size, TimePoint now)
{
    advance(now);
    assert(!m_remainingBytes.contains(id));
    if (m_remainingBytes.size() >= m_options.transfersAtOnce) {
        const auto next = nextFinish();
        return WeightStoreBusy{.retryAfter = next ? *next - now : Duration()};
    }
    m_remainingBytes.emplace(id, static_cast<double>(size.value()));
    return Done{};
}

void WeightStore::cancel(WeightTransferId id, TimePoint now)
{
    advance(now);
    m_remainingBytes.erase(id);
}

std::vector<WeightTransferId> WeightStore::takeFinished(TimePoint now)
{
    advance(now);
    return std::exchange(m_finished, {});
}

std::optional<TimePoint> WeightStore::nextFinish() const
{
    const auto next = smallest();
    if (next == m_remainingBytes.end()) {
        return std::nullopt;
    }
    const double bytesOfAll = next->second * static_cast<double>(m_remainingBytes.size());
    const double seconds = bytesOfAll / static_cast<double>(m_options.bytesPerSecond.value());
    // Rounded up, so that the transfer has surely ended by then.
    return m_advancedTo + Duration(static_cast<Duration::rep>(std::ceil(seconds * 1e6)));
}

void WeightStore::advance(TimePoint now)
{
    // Each transfer that ends changes the others' shares, so time moves from end to end.
    for (auto next = nextFinish(); next && *next <= now; next = nextFinish()) {
        const auto ending = smallest();
        const WeightTransferId id = ending->first;
        const double bytes = ending->second;
        for (auto &[other, remaining] : m_remainingBytes) {
            remaining = std::max(0.0, remaining - bytes);
        }
        m_remainingBytes.erase(id);
        m_finished.push_back(id);
        m_advancedTo = *next;
    }
    if (!m_remainingBytes.empty()) {
        const double seconds = std::chrono::duration<double>(now - m_advancedTo).count();
        const double share = seconds * static_cast<double>(m_options.bytesPerSecond.value())
                             / static_cast<double>(m_remainingBytes.size());
        for (auto &[id, remaining] : m_remainingBytes) {
            remaining = std::max(0.0, remaining - share);
        }
    }
    m_advancedTo = std::max(m_advancedTo, now);
}

std::map<WeightTransferId, double>::const_iterator WeightStore::smallest() const
{
    return std::ranges::min_element(m_remainingBytes,
                                    [](const auto &left, const auto &right) { return left.second < right.second; });
}

} // namespace Carawaymill
