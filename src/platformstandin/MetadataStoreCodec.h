#pragma once

#include "http/HttpMessages.h"
#include "keyvalue/KeyValueMessages.h"
#include "support/Codec.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// Server side of the metadata store's HTTP interface; `platform/MetadataStoreProtocol.h` is the client side.
namespace Carawaymill {

/// A call to the metadata store.
struct MetadataStoreCall
{
    KeyValueRequest request;
    /// The call reads the one record whose key is the prefix.
    bool singleKey = false;
    /// A page of a range begins after this key; empty for the first page.
    std::string after;
    /// The keys of a commit's preconditions.
    std::vector<std::string> preconditions;
};

/// The store's revision of a key; 0 if the key does not exist.
using CurrentRevision = std::function<Revision(const std::string &key)>;

/// Decodes a call. Writes without a precondition get the current revision as theirs.
[[nodiscard]] Result<MetadataStoreCall, DecodeFailure> decodeMetadataStoreCall(const HttpRequest &request,
                                                                               const CurrentRevision &currentRevision);

/// Whether the call writes keys that only the operators and the targets may write.
[[nodiscard]] bool writesForeignKeys(const MetadataStoreCall &call);

/// Encodes a result. `pageSize` is the maximum number of records in a page of a range.
[[nodiscard]] HttpResponse
encodeMetadataStoreResult(const MetadataStoreCall &call, const KeyValueResult &result, std::size_t pageSize);

} // namespace Carawaymill
