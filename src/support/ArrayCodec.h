#pragma once

#include "support/Codec.h"

#include <cstddef>

namespace Carawaymill {

/// Reads consecutive elements of a JSON array into `fields`, from the element `first` on.
/// Throws the library's exception, which `decode` turns into a typed failure.
template<typename... Fields>
void readArray(const nlohmann::json &json, std::size_t first, Fields &...fields)
{
    std::size_t index = first;
    (json.at(index++).get_to(fields), ...);
}

} // namespace Carawaymill
