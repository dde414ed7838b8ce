// A machine is added while the platform's store, back from a copy some seconds old, has not yet got the newest manifest
// again. A key that this manifest has taken away seconds before must not work at any machine.
#include "standins.h"

#include <csignal>
#include <cstdio>

using namespace review;

/// Of the pages: `RevokeMs` of the small deployments.
static constexpr std::int64_t revokeMs = 5000;
/// The copy was taken this long before the manifest was acknowledged.
static constexpr std::int64_t copyLeadMs = 300;
/// When the store goes away, after the ack, and for how long: "away for a moment".
static constexpr std::int64_t awayAfterMs = 5300;
static constexpr std::int64_t awayForMs = 500;
/// How long after the store's return the operator and the workers write again.
static constexpr std::int64_t rewriteAfterMs = 2000;
/// How long after the store's return the machine is started.
static constexpr std::int64_t addedAfterMs = 100;
/// Pause of a consumer between an answer and its next request.
static constexpr std::int64_t pauseMs = 20;

static std::string manifest(int version, bool withRevokedKey, const std::string &key, const std::string &revokedKey)
{
    Json keys = Json::array({key});
    if (withRevokedKey) {
        keys.push_back(revokedKey);
    }
    return Json{{"Version", version},
                {"Routes",
                 {{{"Name", "post-tow-charge"},
                   {"Hostname", "logbook.example"},
                   {"Prefix", "/charge/"},
                   {"RouteType", "mutating"},
                   {"TimeoutMs", 1500},
                   {"TargetLatencyMs", 150},
                   {"Priority", 1},
                   {"Service", "logbook"},
                   {"MaxAttempts", 2},
                   {"Public", false}}}},
                {"Services", {{{"Name", "logbook"}, {"HealthPath", "/healthz"}, {"MaxConns", 96}}}},
                {"Limits",
                 {{"MaxHeaderBytes", 16384},
                  {"MaxBodyBytes", 4194304},
                  {"HeaderTimeoutMs", 3000},
                  {"IdleTimeoutMs", 15000}}},
                {"Tenants", {{{"Name", "club"}, {"ApiKeys", keys}, {"Priority", 1}}}}}
        .dump();
}

struct Sent
{
    std::string attempt;
    bool revoked;
    std::string host;
    std::int64_t at;
    int status;
};

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2) {
        return 2;
    }
    Record record(argv[1]);
    const bool trouble = hasTrouble();
    record.line(trouble ? "with the disruption" : "without the disruption");
    const TemporaryFolder folder;
    Store store;
    const std::string storeAddress = store.listen();
    const std::string key = randomId();
    const std::string revokedKey = randomId();
    store.put("op/config", manifest(3, true, key, revokedKey));
    std::vector<std::unique_ptr<Worker>> workers;
    for (const char *zone : {"seq-a", "seq-b", "seq-c"}) {
        workers.push_back(std::make_unique<Worker>(
            store, WorkerOptions{.id = "i-" + randomId().substr(0, 8), .service = "logbook", .zone = zone}));
    }
    std::vector<std::unique_ptr<Host>> hosts;
    for (HostOptions &options : smallDeployment()) {
        options.store = storeAddress;
        hosts.push_back(std::make_unique<Host>(folder.path(), options));
        hosts.back()->start();
    }
    for (const auto &host : hosts) {
        while (!host->isReady()) {
            if (nowMs() > 15000) {
                record.line("the hosts did not get ready");
                return 2;
            }
            sleepMs(50);
        }
    }
    record.line("all hosts are ready");
    sleepMs(2000);

    std::mutex mutex;
    std::vector<Sent> sent;
    std::atomic<bool> done = false;
    std::vector<std::thread> consumers;
    const auto startConsumers = [&](const Host &host) {
        for (const bool revoked : {false, true}) {
            consumers.emplace_back([&, revoked, host = &host] {
                while (!done) {
                    Sent one{.attempt = randomId(), .revoked = revoked, .host = host->options().ip, .at = nowMs(), .status = 0};
                    const Answer answer = call(host->frontend(),
                                               {.method = "POST",
                                                .target = "/charge/" + one.attempt,
                                                .headers = {{"Host", "logbook.example"},
                                                            {"X-Attempt-Id", one.attempt},
                                                            {"X-Deadline-Ms", "1500"},
                                                            {"Authorization", "Bearer " + (revoked ? revokedKey : key)}},
                                                .body = "a tow"},
                                               1500);
                    one.status = answer.status;
                    {
                        const std::lock_guard lock(mutex);
                        sent.push_back(one);
                    }
                    sleepMs(pauseMs);
                }
            });
        }
    };
    for (const auto &host : hosts) {
        startConsumers(*host);
    }
    sleepMs(1000);
    store.keepCopy();
    record.line("the store's copy is of now");
    sleepMs(copyLeadMs);
    const std::int64_t ackAt = store.put("op/config", manifest(4, false, key, revokedKey));
    record.line("manifest 4, without the key, is acknowledged");
    sleepUntilMs(ackAt + awayAfterMs);
    if (trouble) {
        store.setAway(true);
        record.line("the store is away");
    }
    sleepMs(awayForMs);
    if (trouble) {
        store.returnFromCopy();
        record.line("the store is back from its copy");
    }
    const std::int64_t returnedAt = nowMs();
    sleepMs(addedAfterMs);
    // Planned work: a machine is added, at an address of its own.
    HostOptions options = hosts[2]->options();
    options.ip = options.ip.substr(0, options.ip.rfind('.') + 1) + "5";
    hosts.push_back(std::make_unique<Host>(folder.path(), options));
    hosts.back()->start();
    record.line(options.ip + " is added and started");
    startConsumers(*hosts.back());
    sleepUntilMs(returnedAt + rewriteAfterMs);
    if (trouble) {
        store.put("op/config", manifest(4, false, key, revokedKey));
        for (const auto &worker : workers) {
            worker->registerSelf();
        }
        record.line("the operator and the workers have written again");
    }
    sleepMs(3000);
    done = true;
    for (std::thread &consumer : consumers) {
        consumer.join();
    }

    std::map<std::string, Run> runs;
    for (const auto &worker : workers) {
        for (const Run &run : worker->runs()) {
            runs.emplace(run.attempt, run);
        }
    }
    std::size_t ordinary = 0;
    std::size_t ordinaryServed = 0;
    std::size_t before = 0;
    std::size_t late = 0;
    std::size_t lateRun = 0;
    for (const Sent &one : sent) {
        const auto run = runs.find(one.attempt);
        if (!one.revoked) {
            ++ordinary;
            ordinaryServed += one.status == 200 ? 1 : 0;
        } else if (one.at < ackAt) {
            before += run != runs.end() ? 1 : 0;
        } else if (one.at > ackAt + revokeMs) {
            ++late;
            if (run != runs.end()) {
                ++lateRun;
                record.line("RUN with the revoked key: request " + one.attempt + " sent to " + one.host + " "
                            + std::to_string(one.at - ackAt) + " ms after the ack, run by " + run->second.worker
                            + " at " + std::to_string(run->second.at - ackAt) + " ms, answered "
                            + std::to_string(one.status));
            }
        }
    }
    record.line("requests with the valid key: " + std::to_string(ordinary) + ", answered 200: "
                + std::to_string(ordinaryServed));
    record.line("requests with the revoked key: run before the ack " + std::to_string(before) + ", sent later than "
                + std::to_string(revokeMs) + " ms after it " + std::to_string(late) + ", of these run "
                + std::to_string(lateRun));
    if (hosts.back()->hasEnded() || !hosts.back()->isReady()) {
        record.line("the added host does not serve");
        return 2;
    }
    if (before == 0 || late == 0 || ordinaryServed * 2 < ordinary) {
        record.line("too few requests were served to judge");
        return 2;
    }
    record.line(lateRun > 0 ? "the rule was broken" : "the rule held");
    return lateRun > 0 ? 1 : 0;
}
