// A trial, no case: four daemons, or more, are stopped with SIGTERM and started again, each for itself, while consumers send
// requests. Prints processes that are still there 8 s after SIGTERM, and such as end by themselves or with a signal.
//
// Build after review/build-2.sh:
//   g++ -std=c++20 -O1 -g -pthread -Ireview/standins-2 -o target/review-2/stops review/trials/stops.cpp target/review-2/standins.o
// Run in the repository: target/review-2/stops SECONDS SEED [FURTHER DAEMONS]
#include "standins.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>

using namespace review;

static constexpr std::int64_t graceMs = 8000;

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
                 {{"MaxHeaderBytes", 16384},
                  {"MaxBodyBytes", 4194304},
                  {"HeaderTimeoutMs", 3000},
                  {"IdleTimeoutMs", 15000}}},
                {"Tenants", {{{"Name", "club"}, {"ApiKeys", {key}}, {"Priority", 1}}}}}
        .dump();
}

int main(int argc, char **argv)
{
    if (argc != 3 && argc != 4) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::mt19937 random(static_cast<unsigned>(std::atoi(argv[2])));
    const TemporaryFolder folder;
    Store store;
    const std::string storeAddress = store.listen();
    const std::string key = randomId();
    store.put("op/config", manifest(key));
    std::vector<std::unique_ptr<Worker>> workers;
    for (const char *zone : {"seq-a", "seq-b", "seq-c"}) {
        workers.push_back(std::make_unique<Worker>(
            store, WorkerOptions{.id = "i-" + randomId().substr(0, 8), .service = "logbook", .zone = zone}));
    }
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<HostOptions> deployment = smallDeployment();
    for (int number = 0; argc == 4 && number < std::atoi(argv[3]); ++number) {
        HostOptions further = deployment[static_cast<std::size_t>(number % 4)];
        further.ip = further.ip.substr(0, further.ip.rfind('.') + 1) + std::to_string(5 + number);
        deployment.push_back(further);
    }
    for (HostOptions &options : deployment) {
        options.store = storeAddress;
        hosts.push_back(std::make_unique<Host>(folder.path(), options));
        hosts.back()->start();
    }
    sleepMs(2000);
    std::atomic<bool> done = false;
    std::vector<std::thread> consumers;
    for (const auto &host : hosts) {
        for (int number = 0; number < 6; ++number) {
            consumers.emplace_back([&, host = host.get()] {
                while (!done) {
                    Channel channel(host->frontend());
                    while (channel.isOpen() && !done) {
                        (void)channel.call({.method = "POST",
                                            .target = "/charge/x",
                                            .headers = {{"Host", "logbook.example"},
                                                        {"X-Attempt-Id", randomId()},
                                                        {"X-Deadline-Ms", "1500"},
                                                        {"Authorization", "Bearer " + key}},
                                            .body = "a tow"},
                                           1500);
                        sleepMs(5);
                    }
                    sleepMs(10);
                }
            });
        }
    }
    const std::int64_t end = nowMs() + std::atoll(argv[1]) * 1000;
    std::vector<std::int64_t> stoppedAt(hosts.size(), 0);
    std::vector<std::int64_t> startedAt(hosts.size(), nowMs());
    int stops = 0;
    int late = 0;
    int crashes = 0;
    while (nowMs() < end) {
        sleepMs(20);
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            Host &host = *hosts[index];
            const bool hasEnded = host.hasEnded();
            if (!hasEnded && stoppedAt[index] != 0 && nowMs() - stoppedAt[index] > graceMs) {
                ++late;
                std::printf("%.3f %s is still there 8 s after SIGTERM\n",
                            static_cast<double>(nowMs()) / 1000,
                            host.options().ip.c_str());
                host.signal(SIGKILL);
                host.waitEnded(2000);
            } else if (!hasEnded) {
                if (stoppedAt[index] == 0 && nowMs() - startedAt[index] > 300 + static_cast<int>(random() % 1500)) {
                    host.signal(SIGTERM);
                    stoppedAt[index] = nowMs();
                }
                continue;
            } else if (stoppedAt[index] == 0 || host.status() != 0) {
                crashes += host.status() == SIGTERM ? 0 : 1;
                std::printf("%.3f %s ended with status %d %ld ms after its start, %s\n",
                            static_cast<double>(nowMs()) / 1000,
                            host.options().ip.c_str(),
                            host.status(),
                            static_cast<long>(nowMs() - startedAt[index]),
                            stoppedAt[index] == 0 ? "without SIGTERM" : "after SIGTERM");
            }
            ++stops;
            stoppedAt[index] = 0;
            startedAt[index] = nowMs();
            host.start();
        }
    }
    done = true;
    for (std::thread &consumer : consumers) {
        consumer.join();
    }
    std::printf("stops %d, still there after 8 s %d, ended by themselves or with a signal %d\n", stops, late, crashes);
    return late + crashes > 0 ? 1 : 0;
}
