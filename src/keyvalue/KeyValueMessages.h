#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"
#include "support/Variant.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Calls to the platform's key-value service and their replies.
///
/// A slice that needs the key-value service returns a `KeyValueCall` as one of its actions and later receives exactly
/// one `KeyValueReply` with the same id as an event. The slice itself performs no input or output: its owner executes
/// the call. For each call, the comment gives the load on the service that it counts as: one read or one write.
namespace Carawaymill {

/// Rises each time the key-value service returns from an older copy of its records. Writes, leases and revisions since
/// that copy are lost, and revisions and lease ids are given out again, so they compare only within one era.
using StoreEra = StrongCount<struct StoreEraTag, std::uint64_t>;

/// A record of the key-value service at the time of a read.
struct KeyValueRecord
{
    std::string key;
    std::string value;
    /// Store revision of the record's last write.
    Revision revision;
    /// The key-value service deletes the record when this lease ends.
    std::optional<LeaseId> lease;

    friend bool operator==(const KeyValueRecord &, const KeyValueRecord &) = default;
};

/// Reads all records whose key starts with `prefix`. Counts as one read.
struct ReadRange
{
    std::string prefix;
};

/// Waits until a record whose key starts with `prefix` changes after revision `after`, for at most `wait`.
/// Returns the changes since `after`, or none if `wait` has passed. Counts as one read.
struct WatchRange
{
    std::string prefix;
    Revision after;
    Duration wait{};
};

/// Writes a record if its revision is still `expected`; revision 0 means that the record must not exist.
struct WriteOperation
{
    std::string key;
    std::string value;
    Revision expected;
    std::optional<LeaseId> lease = std::nullopt;
};

/// Deletes a record if its revision is still `expected`.
struct DeleteOperation
{
    std::string key;
    Revision expected;
};

/// Writes nothing, but fails the commit unless the record's revision is still `expected`.
struct CheckOperation
{
    std::string key;
    Revision expected;
};

using CommitOperation = std::variant<WriteOperation, DeleteOperation, CheckOperation>;

/// A compare-and-swap over one or more records: all operations take effect, or none. Counts as one write.
struct Commit
{
    std::vector<CommitOperation> operations;
};

/// Requests a lease that expires `timeToLive` after its last renewal. Counts as one write.
struct GrantLease
{
    Duration timeToLive{};
};

/// Counts as one write.
struct RenewLease
{
    LeaseId lease;
};

/// Ends a lease and deletes its records. Counts as one write.
struct RevokeLease
{
    LeaseId lease;
};

using KeyValueRequest = std::variant<ReadRange, WatchRange, Commit, GrantLease, RenewLease, RevokeLease>;

/// Response to `ReadRange`: every record of the range.
struct RangeRead
{
    std::vector<KeyValueRecord> records;
    /// Revision of the store, not of a record, at the time of the read.
    Revision storeRevision;
    /// The range has records after the last one listed. `KeyValueHttpClient` then reads the next page, so that slices
    /// receive complete ranges.
    bool truncated = false;
};

/// Response to `WatchRange`: the last change of each key that changed.
struct RangeChanged
{
    std::vector<KeyValueRecord> written;
    std::vector<std::string> deletedKeys;
    /// The next watch starts after this revision.
    Revision storeRevision;
};

/// Response to `WatchRange` if the key-value service no longer stores the changes since `after`: the range must be read
/// again.
struct WatchCompacted
{
    Revision storeRevision;
};

/// Response to `Commit`: all records that it wrote now have this revision.
struct Committed
{
    Revision revision;
};

struct LeaseGranted
{
    LeaseId lease;
    Duration timeToLive{};
};

struct LeaseRenewed
{
    Duration timeToLive{};
};

struct LeaseRevoked
{
};

/// A record of the commit no longer had its expected revision; no operation took effect.
struct CommitConflict
{
    /// The current records of the commit's keys; keys that do not exist are left out.
    std::vector<KeyValueRecord> currentRecords;
    Revision storeRevision;
};

/// The lease has expired or never existed.
struct LeaseNotFound
{
};

/// The key-value service could not be reached or rejected the call; no operation took effect.
struct ServiceUnavailable
{
};

/// The call was sent but no response arrived: it may or may not have taken effect.
struct OutcomeUnknown
{
};

/// A value is larger than the key-value service accepts (one megabyte); no operation took effect.
struct ValueTooLarge
{
};

using KeyValueResult = std::variant<RangeRead,
                                    RangeChanged,
                                    WatchCompacted,
                                    Committed,
                                    LeaseGranted,
                                    LeaseRenewed,
                                    LeaseRevoked,
                                    CommitConflict,
                                    LeaseNotFound,
                                    ServiceUnavailable,
                                    OutcomeUnknown,
                                    ValueTooLarge>;

/// Action of a slice: execute this call and reply with the same `id`.
struct KeyValueCall
{
    CallId id;
    KeyValueRequest request;
    /// If no response arrives within this time, the reply is `OutcomeUnknown` for writes and `ServiceUnavailable` for
    /// reads and watches. For watches, their wait is added.
    Duration timeout = std::chrono::seconds(2);
};

/// Event for a slice: the result of the call `id`.
struct KeyValueReply
{
    CallId id;
    KeyValueResult result;
    /// Zero if the key-value service itself responded. Otherwise another host relayed the result: it was confirmed by
    /// the service at most this long before the call was made.
    Duration age{};
    /// The era in which the service responded; std::nullopt if there was no response or the service has no eras.
    std::optional<StoreEra> era = std::nullopt;
};

/// Event for a slice: the era of the key-value service is known for the first time, or has risen.
struct StoreEraChanged
{
    StoreEra era;
    /// The service returned from an older copy. Revisions and lease ids of before are void, and so are the calls in
    /// flight, whichever era answers them.
    bool restored = false;
};

} // namespace Carawaymill
