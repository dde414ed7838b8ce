#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"
#include "support/Units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What callers, engines, plain services, operators and hosts did and saw in one run, without judgement.
/// All times are of one virtual clock.
namespace Carawaymill {

/// Names one request of a caller within a history.
using RequestNumber = StrongCount<struct RequestNumberTag, std::size_t>;

/// What a response said about whether the request ran.
enum class RanClaim {
    No,
    Yes,
    Unknown,
};

/// No end came before the run ended.
struct NoEndSeen
{
};

/// The connection was cut: the host died, or the caller went away.
struct ConnectionCut
{
};

/// A response that was not a success.
struct ProblemSeen
{
    RanClaim ran = RanClaim::Unknown;
    /// Name of the problem, for example `urn:carawaymill:problem:draining`.
    std::string type;
};

/// A response of success: a whole body, or a stream with its end marker.
struct WholeAnswerSeen
{
};

/// The stream was closed in order, but with neither end marker nor error.
struct StreamEndedEarly
{
};

using RequestEnd = std::variant<NoEndSeen, ConnectionCut, ProblemSeen, WholeAnswerSeen, StreamEndedEarly>;

/// A caller asked a model.
struct ModelAsk
{
    /// The answer as the plain reference computation gives it.
    std::string expectedText;
    /// All text that reached the caller.
    std::string receivedText;
    /// As the answer states them; 0 without an answer.
    TokenCount promptTokens;
    TokenCount generatedTokens;
    std::uint32_t layers = 0;
};

/// A caller asked a plain service.
struct ServiceAsk
{
    bool idempotent = false;
    /// Empty: the caller gave none.
    IdempotencyKey key;
    /// The request that the service says it answered; absent without such an answer.
    std::optional<RequestNumber> answersRequest;
};

/// One request as its caller saw it.
struct RequestSeen
{
    RequestNumber number;
    HostId host;
    OrganisationId organisation;
    TimePoint sentAt{};
    /// When the end was seen; meaningless for `NoEndSeen`.
    TimePoint endedAt{};
    RequestEnd end;
    std::variant<ModelAsk, ServiceAsk> ask;
    /// The job that the answer names, if it names one.
    std::optional<JobId> job;
};

/// An engine was given the prompt of a request.
struct JobSeen
{
    JobId job;
    /// Absent: the prompt is of no request.
    std::optional<RequestNumber> request;
};

/// One run of one layer for one token, from an engine's own log.
struct LayerRunSeen
{
    TargetId target;
    /// Grows with each start of the engine, whose state is empty then.
    IncarnationNumber life;
    JobId job;
    std::string stream;
    TokenPosition position;
    LayerIndex layer;
};

/// A plain service ran a request.
struct ServiceRunSeen
{
    TargetId target;
    RequestNumber request;
    TimePoint at{};
};

/// A target was given work that does not belong to what it had: a new stream, or a request.
struct WorkGiven
{
    TargetId target;
    JobId job;
    TimePoint at{};
};

/// From then on the platform's host list has shown that this host or target leaves.
struct DepartureShown
{
    std::variant<HostId, TargetId> who;
    TimePoint at{};
};

/// A host was told to shut down gracefully, and ended.
struct GracefulShutdown
{
    HostId host;
    TimePoint askedAt{};
    /// Absent: it was still finishing its requests when the run ended.
    std::optional<TimePoint> endedAt;
};

/// The service accepted an operator's edit, as the operator was told.
struct EditSeen
{
    std::string key;
    /// The revision that the edit replaced.
    Revision expected;
    Revision revision;
    TimePoint acceptedAt{};
};

/// From then on a host has had this revision of a record in force.
struct RevisionSeen
{
    HostId host;
    /// Counts the starts of the host.
    IncarnationNumber life;
    std::string key;
    Revision revision;
    std::string value;
    TimePoint at{};
};

/// A host was up, running, and in touch with the key-value service or with other hosts that were.
struct ConnectedPeriod
{
    HostId host;
    IncarnationNumber life;
    TimePoint from{};
    TimePoint to{};
};

/// The limits of an organisation, in force during the whole run.
struct LimitSeen
{
    OrganisationId organisation;
    double requestsPerSecond = 0;
    /// Requests that may be admitted at once after a pause.
    double burst = 0;
    /// Stated error of the shared limit, as a share of the limit.
    double statedError = 0;
};

/// What the ledger says that an organisation is to pay for, once everything has settled.
struct UsageSeen
{
    OrganisationId organisation;
    std::uint64_t jobs = 0;
    /// Of prompts and answers together.
    TokenCount tokens;
};

struct History
{
    std::vector<RequestSeen> requests;
    std::vector<JobSeen> jobs;
    std::vector<LayerRunSeen> layerRuns;
    std::vector<ServiceRunSeen> serviceRuns;
    std::vector<WorkGiven> workGiven;
    std::vector<DepartureShown> departures;
    std::vector<GracefulShutdown> shutdowns;
    std::vector<EditSeen> edits;
    std::vector<RevisionSeen> revisions;
    std::vector<ConnectedPeriod> connected;
    std::vector<LimitSeen> limits;
    /// Empty: usage was not asked for.
    std::vector<UsageSeen> usage;
    TimePoint end{};
};

} // namespace Carawaymill
