#include "catalogue/CatalogueEditor.h"

#include <algorithm>

namespace Carawaymill {

/// Ids of this class are odd, those of the replica even, so that a driver may offer a reply to both.
static constexpr CallId callIdStep{2};
static constexpr Duration giveUpMargin = 500ms;
/// Reads that show an older revision than the operator has seen, before the operator is told of a conflict.
static constexpr std::size_t maxOlderReads = 5;

static StoredRecord decodeOrEmpty(const std::optional<KeyValueRecord> &present)
{
    if (present) {
        Result<StoredRecord, DecodeFailure> decoded = decodeStoredRecord(present->value);
        if (auto *stored = std::get_if<StoredRecord>(&decoded)) {
            return std::move(*stored);
        }
    }
    return {};
}

static std::optional<KeyValueRecord> recordWithKey(const std::vector<KeyValueRecord> &records, const std::string &key)
{
    const auto found = std::ranges::find(records, key, &KeyValueRecord::key);
    return found == records.end() ? std::nullopt : std::optional(*found);
}

static std::optional<KeyValueRecord> recordIn(const CatalogueTable &table, const std::string &key)
{
    const CatalogueTable::Item *item = table.item(key);
    return item == nullptr
               ? std::nullopt
               : std::optional(KeyValueRecord{.key = key, .value = item->value, .revision = item->revision});
}

std::vector<CatalogueEditorAction>
CatalogueEditor::handle(const CatalogueEditorEvent &event, const CatalogueReplica &catalogue, TimePoint now)
{
    return std::visit(Overloaded{[&](const Tick &) { return tick(now); },
                                 [&](const EditAsked &asked) { return begin(asked, catalogue, now); },
                                 [&](const KeyValueReply &reply) { return handleReply(reply, now); }},
                      event);
}

static Result<Done, InvalidRecord> validate(const EditAsked &asked, const CatalogueReplica &catalogue)
{
    if (!asked.record) {
        return validateDeletion(asked.key, catalogue);
    }
    if (catalogueKey(*asked.record) != asked.key) {
        return InvalidRecord{.field = "/id", .fault = RecordFault::OtherKey};
    }
    return validateRecord(*asked.record, catalogue);
}

CatalogueEditor::Actions
CatalogueEditor::begin(const EditAsked &asked, const CatalogueReplica &catalogue, TimePoint now)
{
    if (const auto found = m_asks.find(asked.edit); found != m_asks.end()) {
        if (found->second.asked == asked) {
            return {};
        }
        const InvalidRecord reason{.field = "/edit", .fault = RecordFault::EditIdInUse};
        return {EditFinished{.edit = asked.edit, .key = asked.key, .outcome = EditRefused{.reason = reason}}};
    }
    Ask ask{.asked = asked, .deadline = now + m_options.resolutionTime};
    if (!catalogue.loaded()) {
        return finish(ask, EditNotMade{});
    }
    const std::optional<KeyValueRecord> known = recordIn(catalogue.table(), asked.key);
    const StoredRecord stored = decodeOrEmpty(known);
    if (known) {
        // Comes before the validation, which the catalogue of today may not pass.
        if (const auto revision = appliedRevision(stored, asked.edit, known->revision)) {
            return finish(ask, EditAlreadyApplied{.revision = *revision});
        }
    }
    if (const auto result = validate(asked, catalogue); const auto *invalid = std::get_if<InvalidRecord>(&result)) {
        return finish(ask, EditRefused{.reason = *invalid});
    }
    if (const auto head = recordIn(catalogue.table(), catalogueHeadKey)) {
        ask.head = Head{.value = head->value, .revision = head->revision};
    }
    Ask &kept = m_asks.emplace(asked.edit, std::move(ask)).first->second;
    return decide(kept, known, Source::Replica, now);
}

CatalogueEditor::Actions
CatalogueEditor::decide(Ask &ask, const std::optional<KeyValueRecord> &present, Source source, TimePoint now)
{
    const Revision revision = present ? present->revision : Revision(0);
    StoredRecord stored = decodeOrEmpty(present);
    if (const auto applied = appliedRevision(stored, ask.asked.edit, revision)) {
        Actions actions{CatalogueVersionsAccepted{
            .versions = {{.key = present->key, .revision = present->revision, .value = present->value}}}};
        const EditOutcome outcome = ask.isUncertain ? EditOutcome(EditAccepted{.revision = *applied})
                                                    : EditOutcome(EditAlreadyApplied{.revision = *applied});
        std::ranges::move(finish(ask, outcome), std::back_inserter(actions));
        return actions;
    }
    const bool existsForOperators = present && stored.record;
    const bool matches = ask.asked.expected == revision || (ask.asked.expected == Revision(0) && !existsForOperators);
    const bool deletesNothing = !ask.asked.record && !existsForOperators;
    if (matches && !deletesNothing) {
        return commit(ask, std::move(stored), revision, now);
    }
    const bool mayBeOlderState = source == Source::Read && revision < ask.asked.expected;
    if (mayBeOlderState && ask.olderReads < maxOlderReads) {
        ++ask.olderReads;
        ask.nextTry = now + m_options.retryInterval;
        return {};
    }
    if (source == Source::Replica) {
        return {call(ask, ReadRange{.prefix = ask.asked.key}, now)};
    }
    return finish(
        ask,
        EditConflict{.present = std::move(stored.record), .revision = existsForOperators ? revision : Revision(0)});
}

CatalogueEditor::Actions CatalogueEditor::commit(Ask &ask, StoredRecord stored, Revision revision, TimePoint now)
{
    if (!stored.edits.empty() && stored.edits.back().revision == Revision(0)) {
        stored.edits.back().revision = revision;
    }
    stored.edits.push_back({.id = ask.asked.edit, .revision = Revision(0)});
    if (stored.edits.size() > maxKeptEdits) {
        stored.edits.erase(stored.edits.begin());
    }
    stored.record = ask.asked.record;

    const Revision headRevision = ask.head ? ask.head->revision : Revision(0);
    CatalogueHead head;
    if (ask.head) {
        const auto decoded = decodeCatalogueHead(ask.head->value, headRevision);
        // An unreadable head is begun anew from its revision, which makes replicas read everything once.
        const auto *readable = std::get_if<CatalogueHead>(&decoded);
        head = readable != nullptr ? *readable : CatalogueHead{.since = headRevision};
    }

    return {call(
        ask,
        Commit{.operations =
                   {WriteOperation{.key = ask.asked.key, .value = encodeStoredRecord(stored), .expected = revision},
                    WriteOperation{.key = catalogueHeadKey,
                                   .value = encodeCatalogueHead(headAfterChange(std::move(head), ask.asked.key)),
                                   .expected = headRevision}}},
        now)};
}

void CatalogueEditor::noteLostAnswer(Ask &ask, TimePoint now)
{
    ask.call.reset();
    ask.isUncertain = ask.isUncertain || std::holds_alternative<Commit>(ask.request);
    ask.nextTry = now;
}

CatalogueEditor::Actions CatalogueEditor::handleReply(const KeyValueReply &reply, TimePoint now)
{
    const auto found = std::ranges::find_if(m_asks, [&](const auto &asked) { return asked.second.call == reply.id; });
    if (found == m_asks.end()) {
        return {};
    }
    Ask &ask = found->second;
    ask.call.reset();
    return std::visit(Overloaded{[&](const Committed &committed) { return handleCommitted(ask, committed.revision); },
                                 [&](const CommitConflict &conflict) { return handleConflict(ask, conflict, now); },
                                 [&](const RangeRead &range) {
                                     return decide(ask, recordWithKey(range.records, ask.asked.key), Source::Read, now);
                                 },
                                 [&](const ValueTooLarge &) {
                                     return finish(ask, EditRefused{.reason = {.fault = RecordFault::TooLarge}});
                                 },
                                 [&](const OutcomeUnknown &) {
                                     noteLostAnswer(ask, now);
                                     return tick(now);
                                 },
                                 [&](const auto &) {
                                     ask.nextTry = now + m_options.retryInterval;
                                     return Actions{};
                                 }},
                      reply.result);
}

CatalogueEditor::Actions CatalogueEditor::handleCommitted(const Ask &ask, Revision revision)
{
    CatalogueVersionsAccepted accepted;
    for (const CommitOperation &operation : std::get<Commit>(ask.request).operations) {
        if (const auto *write = std::get_if<WriteOperation>(&operation)) {
            accepted.versions.push_back({.key = write->key, .revision = revision, .value = write->value});
        }
    }
    Actions actions{std::move(accepted)};
    std::ranges::move(finish(ask, EditAccepted{.revision = revision}), std::back_inserter(actions));
    return actions;
}

CatalogueEditor::Actions CatalogueEditor::handleConflict(Ask &ask, const CommitConflict &conflict, TimePoint now)
{
    ask.head.reset();
    if (const auto head = recordWithKey(conflict.currentRecords, catalogueHeadKey)) {
        ask.head = Head{.value = head->value, .revision = head->revision};
    }
    if (now >= ask.deadline) {
        return giveUp(ask);
    }
    return decide(ask, recordWithKey(conflict.currentRecords, ask.asked.key), Source::Conflict, now);
}

CatalogueEditor::Actions CatalogueEditor::tick(TimePoint now)
{
    Actions actions;
    std::vector<EditId> overdue;
    for (auto &[edit, ask] : m_asks) {
        if (ask.call && now >= ask.callExpiresAt) {
            noteLostAnswer(ask, now);
        }
        if (now >= ask.deadline && !ask.call) {
            overdue.push_back(edit);
        } else if (!ask.call && now >= ask.nextTry) {
            actions.emplace_back(repeatCall(ask, now));
        }
    }
    for (const EditId &edit : overdue) {
        std::ranges::move(giveUp(m_asks.at(edit)), std::back_inserter(actions));
    }
    return actions;
}

CatalogueEditor::Actions CatalogueEditor::giveUp(const Ask &ask)
{
    return finish(ask, ask.isUncertain ? EditOutcome(EditOutcomeUnknown{}) : EditOutcome(EditNotMade{}));
}

CatalogueEditor::Actions CatalogueEditor::finish(const Ask &ask, EditOutcome outcome)
{
    Actions actions{EditFinished{.edit = ask.asked.edit, .key = ask.asked.key, .outcome = std::move(outcome)}};
    m_asks.erase(EditId(ask.asked.edit));
    return actions;
}

KeyValueCall CatalogueEditor::call(Ask &ask, KeyValueRequest request, TimePoint now)
{
    ask.request = std::move(request);
    return repeatCall(ask, now);
}

KeyValueCall CatalogueEditor::repeatCall(Ask &ask, TimePoint now)
{
    m_lastCall += callIdStep;
    ask.call = m_lastCall;
    ask.callExpiresAt = now + m_options.callTimeout + giveUpMargin;
    return {.id = m_lastCall, .request = ask.request, .timeout = m_options.callTimeout};
}

std::string describe(const EditFinished &decision)
{
    const std::string what = "Catalogue: Edit " + decision.edit.value() + " of " + decision.key + " ";
    return what
           + std::visit(
               Overloaded{[](const EditAccepted &accepted) {
                              return "accepted at revision " + std::to_string(accepted.revision.value());
                          },
                          [](const EditAlreadyApplied &applied) {
                              return "was applied before, at revision " + std::to_string(applied.revision.value());
                          },
                          [](const EditConflict &conflict) {
                              return "conflicts with revision " + std::to_string(conflict.revision.value());
                          },
                          [](const EditRefused &refused) {
                              return "refused: " + refused.reason.field + " " + describe(refused.reason.fault);
                          },
                          [](const EditNotMade &) { return std::string("not made: no answer from the service"); },
                          [](const EditOutcomeUnknown &) { return std::string("has an unknown outcome"); }},
               decision.outcome);
}

} // namespace Carawaymill
