#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <utility>

namespace Carawaymill {

/// Wraps a value of type `Value` so that ids and units of different meaning cannot be mixed up.
///
/// `Tag` is an otherwise unused type that makes each instantiation distinct.
template<typename Tag, typename Value>
class StrongType
{
public:
    using ValueType = Value;

    constexpr StrongType() = default;

    constexpr explicit StrongType(Value value)
        : m_value(std::move(value))
    {
    }

    /// The wrapped value.
    [[nodiscard]] constexpr const Value &value() const { return m_value; }

    friend constexpr auto operator<=>(const StrongType &, const StrongType &) = default;
    friend constexpr bool operator==(const StrongType &, const StrongType &) = default;

    friend std::ostream &operator<<(std::ostream &stream, const StrongType &strong) { return stream << strong.m_value; }

private:
    Value m_value{};
};

/// A strong number that can be added, subtracted and counted.
template<typename Tag, typename Value>
class StrongCount : public StrongType<Tag, Value>
{
public:
    using StrongType<Tag, Value>::StrongType;

    /// The number that follows this one.
    [[nodiscard]] constexpr StrongCount next() const { return StrongCount(this->value() + 1); }

    friend constexpr StrongCount operator+(StrongCount left, StrongCount right)
    {
        return StrongCount(left.value() + right.value());
    }

    friend constexpr StrongCount operator-(StrongCount left, StrongCount right)
    {
        return StrongCount(left.value() - right.value());
    }

    constexpr StrongCount &operator+=(StrongCount other) { return *this = *this + other; }

    constexpr StrongCount &operator-=(StrongCount other) { return *this = *this - other; }
};

/// Hashes any strong type by its value.
struct StrongHash
{
    template<typename Strong>
    std::size_t operator()(const Strong &strong) const
    {
        return std::hash<typename Strong::ValueType>{}(strong.value());
    }
};

} // namespace Carawaymill

template<typename Tag, typename Value>
struct std::hash<Carawaymill::StrongType<Tag, Value>> : Carawaymill::StrongHash
{
};

template<typename Tag, typename Value>
struct std::hash<Carawaymill::StrongCount<Tag, Value>> : Carawaymill::StrongHash
{
};
