#pragma once

#include "catalogue/CatalogueReplica.h"
#include "catalogue/CatalogueValidation.h"
#include "keyvalue/KeyValueMessages.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Carawaymill {

/// Event: an operator wants a record changed. Each such event is answered by one `EditFinished`, but a repeat that
/// comes while the same edit is in progress shares its answer.
struct EditAsked
{
    /// Chosen by the operator's tool; a repeat of an edit carries the same id.
    EditId edit;
    std::string key;
    /// Absent: delete the record.
    std::optional<CatalogueRecord> record;
    /// The edit applies only if this is still the record's revision; 0: the record does not exist.
    Revision expected;

    friend bool operator==(const EditAsked &, const EditAsked &) = default;
};

using CatalogueEditorEvent = std::variant<Tick, EditAsked, KeyValueReply>;

/// The edit took effect and has this revision.
struct EditAccepted
{
    Revision revision;
};

/// An earlier request with the same edit id had taken effect, whatever was edited since.
struct EditAlreadyApplied
{
    Revision revision;
};

/// The record is no longer as the operator knew it; nothing took effect.
struct EditConflict
{
    /// Absent: the record does not exist.
    std::optional<CatalogueRecord> present;
    Revision revision;
};

/// The record is not valid; nothing took effect.
struct EditRefused
{
    InvalidRecord reason;
};

/// The service could not be reached, or this host does not know the catalogue yet; nothing took effect.
struct EditNotMade
{
};

/// The edit may or may not have taken effect: ask again with the same edit id.
struct EditOutcomeUnknown
{
};

using EditOutcome =
    std::variant<EditAccepted, EditAlreadyApplied, EditConflict, EditRefused, EditNotMade, EditOutcomeUnknown>;

/// Action: what became of an edit.
struct EditFinished
{
    EditId edit;
    std::string key;
    EditOutcome outcome;
};

/// Give `CatalogueVersionsAccepted` to this host's `CatalogueReplica` as an event.
using CatalogueEditorAction = std::variant<KeyValueCall, CatalogueVersionsAccepted, EditFinished>;

struct CatalogueEditorOptions
{
    /// An edit whose outcome cannot be found out in this time is given up.
    Duration resolutionTime = 5s;
    Duration callTimeout = 1s;
    /// Between two tries at a service that fails.
    Duration retryInterval = 200ms;
};

/// Makes operators' edits by compare-and-swap.
///
/// Each edit writes the record and the head in one commit. The ids of the last edits stay with the record, so that an
/// edit whose answer was lost is found again, also after others have edited the record.
class CatalogueEditor
{
public:
    explicit CatalogueEditor(CatalogueEditorOptions options)
        : m_options(options)
    {
    }

    /// `catalogue` is this host's replica. Records are validated against it.
    [[nodiscard]] std::vector<CatalogueEditorAction>
    handle(const CatalogueEditorEvent &event, const CatalogueReplica &catalogue, TimePoint now);

private:
    using Actions = std::vector<CatalogueEditorAction>;

    /// Where the knowledge of the present record comes from.
    enum class Source {
        /// May lag.
        Replica,
        /// May show an older state after an outage.
        Read,
        /// The service compared it itself.
        Conflict,
    };

    struct Head
    {
        std::string value;
        Revision revision;
    };

    struct Ask
    {
        EditAsked asked;
        TimePoint deadline;
        /// The call in flight.
        std::optional<CallId> call;
        TimePoint callExpiresAt;
        /// The last call, made again while it brings no answer. That is safe for a commit: if it took effect the first
        /// time, the compare-and-swap fails and shows the edit's id, even while reads show an older state.
        KeyValueRequest request;
        /// When to make the call again, if none is in flight.
        TimePoint nextTry;
        std::optional<Head> head;
        /// A commit was sent whose answer was lost.
        bool isUncertain = false;
        std::size_t olderReads = 0;
    };

    Actions begin(const EditAsked &asked, const CatalogueReplica &catalogue, TimePoint now);
    Actions handleReply(const KeyValueReply &reply, TimePoint now);
    Actions tick(TimePoint now);
    Actions decide(Ask &ask, const std::optional<KeyValueRecord> &present, Source source, TimePoint now);
    Actions commit(Ask &ask, StoredRecord stored, Revision revision, TimePoint now);
    static void noteLostAnswer(Ask &ask, TimePoint now);
    Actions handleCommitted(const Ask &ask, Revision revision);
    Actions handleConflict(Ask &ask, const CommitConflict &conflict, TimePoint now);
    Actions finish(const Ask &ask, EditOutcome outcome);
    Actions giveUp(const Ask &ask);
    KeyValueCall call(Ask &ask, KeyValueRequest request, TimePoint now);
    KeyValueCall repeatCall(Ask &ask, TimePoint now);

    CatalogueEditorOptions m_options;
    std::map<EditId, Ask> m_asks;
    CallId m_lastCall{1};
};

/// A log line, for example `Catalogue: Edit 7f3a of catalogue/entry/summary accepted at revision 17`.
[[nodiscard]] std::string describe(const EditFinished &decision);

} // namespace Carawaymill
