#pragma once

#include "routing/BurstPolicies.h"

#include <functional>
#include <vector>

namespace Carawaymill {

struct BurstOptions
{
    std::size_t hosts = 4;
    std::size_t jobs = 6000;
    /// Jobs that a host has in progress at a time; the others wait at the host.
    std::size_t jobsInProgressPerHost = 250;
    Duration reportInterval = std::chrono::seconds(1);
    /// Age of a report when it arrives.
    Duration reportLag = std::chrono::seconds(1);
    /// The link of every tenth target is a hundred times slower than the router is told.
    bool degradedLinks = false;
};

struct BurstResult
{
    /// Tokens (prompt and answer) a second through all layers, while the middle 70 in 100 of the jobs ended.
    double tokensPerSecond = 0;
    /// The same over the whole burst, with its begin and its end.
    double wholeTokensPerSecond = 0;
    /// Until the last job has ended.
    Duration cleared{};
};

using BurstPolicyMaker = std::function<std::unique_ptr<BurstPolicy>(const BurstScene &, std::uint64_t)>;

/// Runs a burst of equal jobs in virtual time. Each target and each link works through its steps one after another, in
/// the order of their arrival; a job's next token begins when the last stage has run the one before.
[[nodiscard]] BurstResult runBurst(const BurstScene &scene, const BurstOptions &options, const BurstPolicyMaker &maker);

} // namespace Carawaymill
