#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace Carawaymill {

/// A seeded source of random numbers; each slice owns one, so that a run can be repeated from its seed.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Any 64-bit number.
    [[nodiscard]] std::uint64_t number() { return m_engine(); }

    /// A number from 0 to `bound` - 1. `bound` must be positive.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return m_engine() % bound; }

    /// A number from 0 (included) to 1 (excluded).
    [[nodiscard]] double fraction() { return static_cast<double>(m_engine() >> 11U) * 0x1.0p-53; }

private:
    std::mt19937_64 m_engine;
};

} // namespace Carawaymill
