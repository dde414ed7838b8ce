#pragma once

#include "catalogue/Records.h"
#include "support/Variant.h"

#include <string>

namespace Carawaymill {

class CatalogueReplica;

enum class RecordFault {
    /// Missing, or of the wrong JSON type.
    Malformed,
    UnknownField,
    /// Not 1 to 128 letters, digits, dots, hyphens or underscores.
    NotAnId,
    Negative,
    NotPositive,
    Empty,
    UnknownOrganisation,
    UnknownModel,
    UnknownTarget,
    /// Not an IP number and port.
    NotAnAddress,
    /// Not a SHA-256 in lower-case hexadecimal.
    NotAHash,
    /// Another organisation has the same token.
    TokenTaken,
    /// Other records name this one, so that it cannot be deleted.
    StillReferenced,
    /// The record's id or kind differs from the key that is edited.
    OtherKey,
    TooLarge,
    /// The same edit id is in use for another edit.
    EditIdInUse,
};

/// Why a record cannot be accepted. `field` is a JSON pointer into the record.
struct InvalidRecord
{
    std::string field;
    RecordFault fault = RecordFault::Malformed;

    friend bool operator==(const InvalidRecord &, const InvalidRecord &) = default;
};

/// Reads a record as an operator wrote it. Unlike `from_json` it takes no unknown fields, names or numbers that do not
/// fit.
[[nodiscard]] Result<CatalogueRecord, InvalidRecord> decodeOperatorsRecord(const nlohmann::json &json);

/// Checks the record's values, and that what it refers to is in the catalogue.
[[nodiscard]] Result<Done, InvalidRecord> validateRecord(const CatalogueRecord &record,
                                                         const CatalogueReplica &catalogue);

/// Checks that no other record refers to the one with this key.
[[nodiscard]] Result<Done, InvalidRecord> validateDeletion(const std::string &key, const CatalogueReplica &catalogue);

/// In words, for people, for example `names an organisation that does not exist`.
[[nodiscard]] std::string describe(RecordFault fault);

} // namespace Carawaymill
