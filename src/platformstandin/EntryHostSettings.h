#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Carawaymill {

struct EntryHostSettingsOptions
{
    /// IP address of the host, for example `127.0.1.1`.
    std::string address;
    FailureDomainId failureDomain;
    /// IP address and port of the metadata store.
    std::string storeAddress;
    /// IP addresses of hosts that are asked for others.
    std::vector<std::string> seedHosts;
    Duration graceTime = 8s;
    /// Retries beyond the ratio that all hosts together may send to a service in 10 s.
    double retryBurst = 200;
    /// Whether the settings have the port at which a host passes on requests of others.
    bool relays = true;
};

/// Settings of a daemon on the platform's stand-in. All hosts use the same ports.
[[nodiscard]] nlohmann::json entryHostSettings(const EntryHostSettingsOptions &options);

/// IP address and port at which the daemon of a host answers callers.
[[nodiscard]] std::string callerAddressOf(const std::string &hostAddress);

} // namespace Carawaymill
