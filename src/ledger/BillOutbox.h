#pragma once

#include "ledger/LedgerClient.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

/// Bills of answered jobs on their way into the ledger.
namespace Carawaymill {

/// Event: a job was answered whole.
struct BillEarned
{
    Bill bill;
};

/// Event: a live host of another failure domain that is to keep copies, or none.
struct CopyKeeperChosen
{
    std::optional<HostId> keeper;
};

/// Event: the process has ended, so bills whose copies are kept here are sent in its place.
struct BillSourceGone
{
    HostLife source;
};

using BillOutboxEvent =
    std::variant<BillEarned, CopyKeeperChosen, BillSourceGone, ShardOwnerLearned, LedgerMessageReceived, Tick>;

/// Action: the buffer is full and the bill is lost. The driver refuses jobs by `hasRoom` before it comes to this.
struct BillLost
{
    Bill bill;
};

using BillOutboxAction = std::variant<SendLedgerMessage, BillLost>;

struct BillOutboxOptions
{
    HostLife self;
    /// The same on all hosts.
    std::uint32_t shards = 8;
    /// Own bills that may wait; as many copies of each other host's bills are kept.
    std::size_t billLimit = 100'000;
    /// Bills in one message.
    std::size_t batchLimit = 400;
    /// New bills are gathered so long before they are sent.
    Duration sendInterval = 50ms;
    /// Bills without an acknowledgement are sent again after this pause, which doubles up to `maximumResendInterval`.
    Duration resendInterval = 500ms;
    /// The same for copies, which answers wait for: some round trips between failure domains.
    Duration copyResendInterval = 100ms;
    Duration maximumResendInterval = 15s;
};

/// A duration or number is not positive.
struct InvalidBillOutboxOptions
{
    friend bool operator==(InvalidBillOutboxOptions, InvalidBillOutboxOptions) = default;
};

/// Keeps bills until the owner of their shard has recorded them, and copies of other hosts' bills until then.
///
/// Bills of one process form a numbered stream. Both ends count by the number, so a bill is never counted twice,
/// whoever sends it and however often.
class BillOutbox
{
public:
    [[nodiscard]] static Result<BillOutbox, InvalidBillOutboxOptions> create(BillOutboxOptions options);

    [[nodiscard]] std::vector<BillOutboxAction> handle(const BillOutboxEvent &event, TimePoint now);

    /// Whether another job can be billed; otherwise new jobs are to be refused as not run.
    [[nodiscard]] bool hasRoom() const { return m_own.bills.size() < m_options.billLimit; }

    /// Own bills that are not recorded.
    [[nodiscard]] std::size_t unrecorded() const { return m_own.bills.size(); }

    /// Own bills that would be lost if this host ended now: neither recorded nor known to be copied.
    [[nodiscard]] std::size_t uncopied() const;

    /// The bill that was earned last.
    [[nodiscard]] BillSequence last() const { return m_own.last(); }

    /// Bills up to here outlive this host: they are recorded, or known to be copied. All of them while there is no
    /// keeper, as nothing is gained by waiting.
    [[nodiscard]] BillSequence safeThrough() const;

    /// Copies that are kept for other hosts.
    [[nodiscard]] std::size_t copies() const;

private:
    using Actions = std::vector<BillOutboxAction>;

    /// A pause that doubles with each sending that is not acknowledged.
    struct Resend
    {
        Duration pause{};
        TimePoint next;

        void sent(Duration shortest, Duration longest, TimePoint now);

        void acknowledged() { *this = {}; }
    };

    /// The end of a stream that is not known to be recorded.
    struct Unrecorded
    {
        /// Everything before is recorded.
        BillSequence first{1};
        std::deque<Bill> bills;
        /// The last bill that was sent at least once.
        BillSequence sentThrough;
        TimePoint nextSend;
        Resend resend;

        [[nodiscard]] BillSequence last() const { return BillSequence(first.value() + bills.size() - 1); }

        void dropThrough(BillSequence through);
        /// Up to `limit` bills from `from` on.
        [[nodiscard]] std::vector<Bill> slice(BillSequence from, std::size_t limit) const;
    };

    explicit BillOutbox(BillOutboxOptions options);

    void earned(const BillEarned &earned, TimePoint now, Actions &actions);
    void keeperChosen(const CopyKeeperChosen &chosen);
    void received(const LedgerMessageReceived &received, TimePoint now, Actions &actions);
    void recorded(const BillsRecorded &recorded);
    void copied(const HostId &from, const BillsCopied &copied, Actions &actions);
    void kept(const HostId &from, const BillCopiesKept &kept, TimePoint now, Actions &actions);
    void tick(TimePoint now, Actions &actions);
    void sendDue(const HostLife &stream, Unrecorded &part, TimePoint now, Actions &actions);
    void sendCopies(TimePoint now, Actions &actions);

    /// Own bills up to here are recorded or known to be copied.
    [[nodiscard]] BillSequence keptThrough() const;

    [[nodiscard]] BillSequence recordedThrough() const { return BillSequence(m_own.first.value() - 1); }

    BillOutboxOptions m_options;
    std::map<ShardNumber, HostId> m_owners;
    Unrecorded m_own;
    std::optional<HostId> m_keeper;
    /// Hosts that may still keep copies; they drop them once the present keeper has all.
    std::set<HostId> m_formerKeepers;
    /// The keeper has copies of all own bills up to here.
    BillSequence m_copiedThrough;
    BillSequence m_copySentThrough;
    Resend m_copyResend;
    std::map<HostLife, Unrecorded> m_kept;
    /// Largest incarnation of each host that is known to have ended.
    std::map<HostId, IncarnationNumber> m_gone;
};

} // namespace Carawaymill
