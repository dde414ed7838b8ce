#include "pipeline/ActivationJournal.h"

#include <algorithm>
#include <cassert>

namespace Carawaymill {

TokenPosition ActivationJournal::end() const
{
    return TokenPosition(m_begin.value() + static_cast<std::uint32_t>(m_activations.size()));
}

void ActivationJournal::append(TokenPosition first, const std::vector<Activation> &activations)
{
    assert(first <= end());
    const std::size_t known = std::min<std::size_t>((end() - first).value(), activations.size());
    for (auto next = activations.begin() + static_cast<std::ptrdiff_t>(known); next != activations.end(); ++next) {
        m_bytes += ByteCount(next->size());
        m_activations.push_back(*next);
    }
}

std::vector<Activation> ActivationJournal::from(TokenPosition first) const
{
    assert(m_begin <= first && first <= end());
    return {m_activations.begin() + static_cast<std::ptrdiff_t>((first - m_begin).value()), m_activations.end()};
}

void ActivationJournal::forgetBefore(TokenPosition position)
{
    while (m_begin < position && !m_activations.empty()) {
        m_bytes -= ByteCount(m_activations.front().size());
        m_activations.pop_front();
        m_begin = m_begin.next();
    }
}

} // namespace Carawaymill
