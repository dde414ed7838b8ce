// One machine is partitioned from all workers. Its requests go through another machine, which has limits of its own for
// them: requests inside the manifest's limits are answered 413 or 431.
#include "standins.h"

#include <csignal>
#include <cstdio>

using namespace review;

/// Of the pages: `ConnectivityMs` of the small deployments, and the manifest's limits of `fleetbench wire`.
static constexpr std::int64_t connectivityMs = 3000;
static constexpr std::size_t maxHeaderBytes = 16384;
static constexpr std::size_t maxBodyBytes = 4194304;
/// The cut lasts for this long.
static constexpr std::int64_t cutMs = 12000;
static constexpr std::int64_t pauseMs = 60;

static std::string manifest(const std::string &key)
{
    return Json{{"Version", 3},
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
                 {{"MaxHeaderBytes", maxHeaderBytes},
                  {"MaxBodyBytes", maxBodyBytes},
                  {"HeaderTimeoutMs", 3000},
                  {"IdleTimeoutMs", 15000}}},
                {"Tenants", {{{"Name", "club"}, {"ApiKeys", {key}}, {"Priority", 1}}}}}
        .dump();
}

struct Sent
{
    std::string attempt;
    bool large;
    std::size_t host;
    std::int64_t at;
    int status;
    std::int64_t endedAt;
    std::string seal;
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
    const std::string key = randomId();
    store.put("op/config", manifest(key));
    std::vector<std::unique_ptr<Worker>> workers;
    for (const char *zone : {"seq-a", "seq-b", "seq-c"}) {
        workers.push_back(std::make_unique<Worker>(
            store, WorkerOptions{.id = "i-" + randomId().substr(0, 8), .service = "logbook", .zone = zone}));
    }
    // The first host reaches each worker over a link of its own.
    std::map<std::string, std::unique_ptr<Proxy>> links;
    for (const auto &worker : workers) {
        links.emplace(worker->address(), std::make_unique<Proxy>("127.0.0.1", worker->address()));
    }
    const std::string ownView = store.listen([&](const std::string &name, const std::string &value) {
        if (!name.starts_with("servers/")) {
            return value;
        }
        Json json = Json::parse(value);
        json["Address"] = links.at(json.at("Address").get<std::string>())->address();
        return json.dump();
    });
    const std::string commonView = store.listen();
    std::vector<std::unique_ptr<Host>> hosts;
    for (HostOptions &options : smallDeployment()) {
        options.store = hosts.empty() ? ownView : commonView;
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
    record.line("all hosts are ready; " + hosts[0]->options().ip + " is the one that is cut off");
    sleepMs(2000);

    std::mutex mutex;
    std::vector<Sent> sent;
    std::atomic<bool> done = false;
    std::vector<std::thread> consumers;
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        for (const bool large : {false, true}) {
            consumers.emplace_back([&, host, large] {
                while (!done) {
                    Sent one{.attempt = randomId(), .large = large, .host = host, .at = nowMs(), .status = 0, .endedAt = 0, .seal = {}};
                    // A large one is within three eighths of the limit.
                    const std::size_t bytes = large ? maxBodyBytes / 8 * 3 : 200;
                    const Answer answer = call(hosts[host]->frontend(),
                                               {.method = "POST",
                                                .target = "/charge/" + one.attempt,
                                                .headers = {{"Host", "logbook.example"},
                                                            {"X-Attempt-Id", one.attempt},
                                                            {"X-Deadline-Ms", "1500"},
                                                            {"Authorization", "Bearer " + key}},
                                                .body = std::string(bytes, 'x')},
                                               1500);
                    one.status = answer.status;
                    one.endedAt = answer.endedAt;
                    one.seal = answer.response.header("X-Server-Seal");
                    {
                        const std::lock_guard lock(mutex);
                        sent.push_back(one);
                    }
                    sleepMs(pauseMs);
                }
            });
        }
    }
    sleepMs(3000);
    const std::int64_t cutAt = nowMs();
    if (trouble) {
        for (const auto &[address, link] : links) {
            link->setState(LinkState::Cut);
        }
        record.line("cut off from all workers");
    }
    sleepMs(cutMs);
    const std::int64_t healedAt = nowMs();
    if (trouble) {
        for (const auto &[address, link] : links) {
            link->setState(LinkState::Open);
        }
        record.line("healed");
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
    // DENIED counts all requests of the day; RECOVER those that were sent during the cut, from `ConnectivityMs` on.
    std::size_t denied = 0;
    std::map<int, std::size_t> statuses;
    std::size_t cutFirst = 0;
    std::size_t cutServed = 0;
    std::size_t otherFirst = 0;
    std::size_t otherServed = 0;
    std::size_t smallAtCut = 0;
    std::size_t smallServed = 0;
    for (const Sent &one : sent) {
        record.line(describeRequest(
            one.attempt, hosts[one.host]->options().ip, one.at, one.status, one.endedAt, runs));
        const bool isDenied = one.status >= 300 && one.status < 500 && one.status != 408 && one.status != 421
                              && one.status != 429 && one.seal.empty();
        denied += isDenied ? 1 : 0;
        if (isDenied && denied <= 20) {
            record.line("DENIED: request " + one.attempt + ", body of "
                        + std::to_string(one.large ? maxBodyBytes / 8 * 3 : 200) + " bytes, sent to "
                        + hosts[one.host]->options().ip + " " + std::to_string(one.at - cutAt)
                        + " ms after the cut began, answered " + std::to_string(one.status));
        }
        if (one.at >= cutAt + connectivityMs && one.at < healedAt) {
            const bool served = one.status == 200 && !one.seal.empty();
            (one.host == 0 ? cutFirst : otherFirst) += 1;
            (one.host == 0 ? cutServed : otherServed) += served ? 1 : 0;
            smallAtCut += one.host == 0 && !one.large ? 1 : 0;
            smallServed += one.host == 0 && !one.large && served ? 1 : 0;
            if (one.host == 0) {
                ++statuses[one.status];
            }
        }
    }
    for (const auto &[status, count] : statuses) {
        record.line("at the machine that is cut off, status " + std::to_string(status) + ": " + std::to_string(count));
    }
    record.line("served at it " + std::to_string(cutServed) + " of " + std::to_string(cutFirst) + " (small bodies "
                + std::to_string(smallServed) + " of " + std::to_string(smallAtCut) + "), at the others "
                + std::to_string(otherServed) + " of " + std::to_string(otherFirst));
    const std::size_t allowed = 5 + sent.size() / 500;
    record.line("denied though inside the limits: " + std::to_string(denied) + " of " + std::to_string(sent.size())
                + ", the rule allows " + std::to_string(allowed));
    if (otherServed * 2 < otherFirst || smallServed * 2 < smallAtCut || cutFirst < 20) {
        record.line("too few requests were served to judge");
        return 2;
    }
    const bool isDeniedBroken = denied > allowed;
    // Rates: at the cut machine less than two thirds of the others', and more than 10 + 1 in 50 first tries failed there.
    const bool isRecoverBroken = cutServed * otherFirst * 3 < otherServed * cutFirst * 2
                                 && cutFirst - cutServed > 10 + (cutFirst + otherFirst) / 50;
    record.line(std::string("DENIED ") + (isDeniedBroken ? "was broken" : "held") + ", RECOVER "
                + (isRecoverBroken ? "was broken" : "held"));
    return isDeniedBroken || isRecoverBroken ? 1 : 0;
}
