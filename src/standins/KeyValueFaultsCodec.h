#pragma once

#include "standins/KeyValueStore.h"
#include "support/Codec.h"

namespace Carawaymill {

/// Sets the named faults and leaves the others as they are. Besides the members of `KeyValueFaults` the document may
/// have `freezeReads` (true or false). Nothing is changed when any field is unknown or of the wrong kind.
[[nodiscard]] Result<Done, DecodeFailure> applyFaults(const nlohmann::json &json, KeyValueStore &store);

void to_json(nlohmann::json &json, const KeyValueCounts &counts);

} // namespace Carawaymill
