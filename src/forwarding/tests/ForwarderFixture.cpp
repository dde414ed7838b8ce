#include "forwarding/tests/ForwarderFixture.h"

#include <algorithm>
#include <iterator>

namespace Carawaymill {

static EngineProfile profile(std::uint64_t cacheTokens)
{
    EngineProfile profile;
    profile.version = "1";
    profile.layers = 8;
    profile.bytesPerLayer = ByteCount(1000);
    profile.activationBytes = ByteCount(10);
    profile.cacheBytesPerToken = ByteCount(8);
    profile.concurrency = 16;
    profile.stepSeconds = 0.001;
    profile.promptTokensPerSecond = 100000;
    profile.domainLinkBytesPerSecond = 1e6;
    profile.domainDelay = 420us;
    profile.meanPromptTokens = TokenCount(100);
    profile.meanCompletionTokens = TokenCount(20);
    // Memory for four layers and their KV cache.
    profile.kinds["small"] = {.memory = ByteCount(4000 + 4 * cacheTokens)};
    return profile;
}

static SharedConfiguration configuration(std::uint64_t cacheTokens)
{
    RoutingConfiguration configuration;
    configuration.version = ConfigurationVersion(7);
    const auto route = [](const std::string &prefix, const std::string &service) {
        return Route{.name = prefix,
                     .host = "host.example",
                     .prefix = prefix,
                     .services = {{.service = ServiceId(service)}},
                     .timeout = 20s,
                     .latencyObjective = 500ms,
                     .pauseObjective = 200ms,
                     .maximumTargets = 2};
    };
    Route read = route("/read/", "desk");
    read.repeat = RepeatPolicy::Repeatable;
    read.timeout = 800ms;
    Route post = route("/post/", "desk");
    post.maximumTargets = 1;
    post.timeout = 800ms;
    Route stream = route("/stream/", "scribe");
    stream.responseKind = ResponseKind::EventStream;
    stream.repeat = RepeatPolicy::Repeatable;
    Route open = read;
    open.prefix = "/open/";
    open.isPublic = true;
    configuration.routes = {read, post, stream, open};
    configuration.services[ServiceId("desk")] = {.healthPath = "/healthz", .connectionLimit = 10, .engine = {}};
    configuration.services[ServiceId("scribe")] = {
        .healthPath = "/healthz", .connectionLimit = 10, .engine = profile(cacheTokens)};
    configuration.organisations = {{.id = OrganisationId("club"), .keys = {"key-1"}, .priority = {}}};
    return std::make_shared<const RoutingConfiguration>(std::move(configuration));
}

DirectoryTarget ForwarderFixture::engine(const std::string &id, LayerRange layers)
{
    return {.id = TargetId(id),
            .service = ServiceId("scribe"),
            .address = id + ":1",
            .failureDomain = FailureDomainId(id.substr(0, 1)),
            .concurrency = 16,
            .acceleratorKind = "small",
            .incarnation = IncarnationNumber(1),
            .held = {{.model = {}, .version = "1", .adapter = {}, .layers = layers}}};
}

DirectoryTarget ForwarderFixture::plainTarget(const std::string &id)
{
    return {.id = TargetId(id),
            .service = ServiceId("desk"),
            .address = id + ":1",
            .failureDomain = FailureDomainId("a"),
            .concurrency = 6,
            .acceleratorKind = {},
            .incarnation = IncarnationNumber(1),
            .held = {}};
}

ForwarderFixture::ForwarderFixture(ForwarderOptions options, bool loaded)
    : router({.ownFailureDomain = FailureDomainId("a"),
              .ownRegion = RegionId("seq"),
              .candidatesPerSegment = 12,
              .otherRegionDelay = 1us,
              .otherFailureDomainDelay = 1us,
              .sameFailureDomainDelay = 1us})
    , forwarder([&options] {
        options.targets.ownFailureDomain = FailureDomainId("a");
        options.retries.burst = 100;
        if (options.limits.self.value().empty()) {
            options.limits = {
                .self = HostId("host"), .incarnation = IncarnationNumber(1), .firstStartOfDeployment = true};
        }
        return options;
    }())
{
    if (loaded) {
        loadState();
    }
}

void ForwarderFixture::loadState(std::uint64_t cacheTokens)
{
    forwarder.configurationChanged(configuration(cacheTokens), router);
    const LayerRange lower{LayerIndex(0), LayerIndex(4)};
    const LayerRange upper{LayerIndex(4), LayerIndex(8)};
    for (const std::string domain : {"a", "b"}) {
        forwarder.targetListed(engine(domain + "1", lower), router);
        forwarder.targetListed(engine(domain + "2", upper), router);
    }
    for (const std::string id : {"desk1", "desk2", "desk3"}) {
        forwarder.targetListed(plainTarget(id), router);
    }
    forwarder.setDirectoryLoaded();
    // A share of the retry burst is granted to hosts that have known the fleet for a whole window.
    forwarder.setHosts(1, now - FleetRetryBudgetOptions().window);
}

std::vector<ForwarderAction> ForwarderFixture::handle(const ForwarderEvent &event)
{
    return forwarder.handle(event, fresh, router, now);
}

std::vector<ForwarderAction> ForwarderFixture::advance(Duration time)
{
    std::vector<ForwarderAction> all;
    for (const TimePoint end = now + time; now < end;) {
        now += 20ms;
        for (ForwarderAction &action : handle(Tick{})) {
            all.push_back(std::move(action));
        }
    }
    return all;
}

std::vector<ForwarderAction> ForwarderFixture::answerLivenessProbes(std::vector<ForwarderAction> actions)
{
    const auto append = [&actions](std::vector<ForwarderAction> more) {
        std::ranges::move(more, std::back_inserter(actions));
    };
    for (std::size_t next = 0; next < actions.size();) {
        bool hasProbes = false;
        for (; next < actions.size(); ++next) {
            const auto *probe = std::get_if<ProbeTarget>(&actions[next]);
            if (probe != nullptr && probe->purpose == ProbePurpose::Liveness) {
                hasProbes = true;
                const bool works = !forwarder.targets().isUnresponsive(probe->target);
                append(handle(TargetProbed{.target = probe->target, .reached = works, .purpose = probe->purpose}));
            }
        }
        if (hasProbes) {
            append(advance(20ms));
        }
    }
    return actions;
}

ForwardRequested ForwarderFixture::request(std::uint64_t id, const std::string &path)
{
    return {.id = RequestId(id),
            .request = {.attempt = "attempt-" + std::to_string(id),
                        .host = "host.example",
                        .path = path,
                        .key = "key-1",
                        .timeLeft = 20s,
                        .resumeAfter = {},
                        .promptTokens = TokenCount(100),
                        .expectedTokens = TokenCount(20),
                        .http = {.method = "POST", .target = path, .headers = {}, .body = "body"}}};
}

TargetResponseStarted ForwarderFixture::started(const ForwardToTarget &dispatch, unsigned status)
{
    return {.id = dispatch.id,
            .attempt = dispatch.attempt,
            .head = {.status = status, .headers = {{"X-Server-Seal", "seal"}}},
            .notRun = false,
            .sealed = true,
            .addressAtFault = {},
            .leaving = false,
            .restFor = {}};
}

TargetResponseStarted ForwarderFixture::rejected(const ForwardToTarget &dispatch, const std::string &atFault)
{
    TargetResponseStarted response = started(dispatch, 503);
    response.notRun = true;
    response.sealed = false;
    if (!atFault.empty()) {
        response.addressAtFault = atFault;
    }
    return response;
}

TargetResponseData ForwarderFixture::event(const ForwardToTarget &dispatch, std::uint64_t position)
{
    return {
        .id = dispatch.id, .attempt = dispatch.attempt, .bytes = "id: " + std::to_string(position) + "\ndata: x\n\n"};
}

TargetResponseCompleted ForwarderFixture::ended(const ForwardToTarget &dispatch)
{
    return {.id = dispatch.id, .attempt = dispatch.attempt};
}

TargetResponseFailed ForwarderFixture::failed(const ForwardToTarget &dispatch, bool sent)
{
    return {.id = dispatch.id, .attempt = dispatch.attempt, .sent = sent};
}

} // namespace Carawaymill
