#pragma once

#include <type_traits>
#include <utility>
#include <variant>

namespace Carawaymill {

/// Builds one visitor out of several lambdas: `std::visit(Overloaded{...}, variant)`.
template<typename... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};

template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

/// A value, or one of the failures that kept it from being made.
template<typename Value, typename... Failures>
using Result = std::variant<Value, Failures...>;

/// Success of an operation that has nothing else to return.
struct Done
{
    friend bool operator==(Done, Done) = default;
};

} // namespace Carawaymill
