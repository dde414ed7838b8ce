#pragma once

#include "support/StrongType.h"

#include <cstdint>
#include <string>

namespace Carawaymill {

/// One of the system's own hosts.
using HostId = StrongType<struct HostIdTag, std::string>;
/// A process at the back end: a model engine or a plain service.
using TargetId = StrongType<struct TargetIdTag, std::string>;
using OrganisationId = StrongType<struct OrganisationIdTag, std::string>;
/// A catalogue entry: what callers name in `model`, or the name of a plain service.
using EntryId = StrongType<struct EntryIdTag, std::string>;
using ModelId = StrongType<struct ModelIdTag, std::string>;
using FailureDomainId = StrongType<struct FailureDomainIdTag, std::string>;
using RegionId = StrongType<struct RegionIdTag, std::string>;
/// One accepted request of a caller. Unique over all hosts and their restarts.
using JobId = StrongType<struct JobIdTag, std::string>;
/// A caller's own name for a call, repeated when the caller asks again.
using IdempotencyKey = StrongType<struct IdempotencyKeyTag, std::string>;
/// A lease granted by the key-value service.
using LeaseId = StrongType<struct LeaseIdTag, std::string>;
/// Names one edit of an operator, so that a repeat of it is recognised.
using EditId = StrongType<struct EditIdTag, std::string>;

/// Names one caller's request while it is being answered. Given by the driver.
using RequestId = StrongCount<struct RequestIdTag, std::uint64_t>;
/// Counts the attempts of one job; the first is 1.
using AttemptNumber = StrongCount<struct AttemptNumberTag, std::uint32_t>;
/// The key-value service's revision of a record or of the whole store. 0 means "does not exist".
using Revision = StrongCount<struct RevisionTag, std::uint64_t>;
/// Grows with each new holder of a lease and never falls.
using FencingNumber = StrongCount<struct FencingNumberTag, std::uint64_t>;
/// Grows each time a host starts or refutes a suspicion.
using IncarnationNumber = StrongCount<struct IncarnationNumberTag, std::uint64_t>;
/// Matches a reply with the call that a slice made. Unique within one slice of one process.
using CallId = StrongCount<struct CallIdTag, std::uint64_t>;

} // namespace Carawaymill
