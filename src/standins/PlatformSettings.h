#pragma once

#include "standins/PlatformServer.h"
#include "support/Codec.h"

#include <string>
#include <vector>

namespace Carawaymill {

/// All that is wrong with a settings document, one entry a field.
struct InvalidPlatformSettings
{
    std::vector<DecodeFailure> faults;
};

/// Reads `{"hostListLagMilliseconds": 2000, "keptChanges": 100000, "hosts": {...}}`; every field may be left out.
/// `hosts` has the form of `GET /hosts`.
[[nodiscard]] Result<PlatformServerOptions, InvalidPlatformSettings> readPlatformSettings(const std::string &text);

} // namespace Carawaymill
