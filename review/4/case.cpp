// Workers are added and others are taken away while one entry host is cut off from the store. Its neighbour in the same
// zone reaches the store, the workers and everybody else all the time.
#include "../standins/standins.h"

using namespace review;

static constexpr double drainS = 2.0;
// A leaving worker serves on for DrainMs and a little longer.
static constexpr double serveOn = 0.08;
static constexpr double cutS = 5.5;

int main(int, char **arguments)
{
    openRecord(std::string(arguments[1]) + "/record.txt");
    const Addresses addresses;
    Store store;
    const std::string key = "k-launch-7f3a91c2";
    Manifest manifest;
    manifest.routes = {route("r-tow", "/tow/", "mutating", "logbook", 1500, 1),
                       route("r-read", "/log/", "idempotent", "logbook", 1500, 2)};
    manifest.services = {service("logbook", 96)};
    manifest.tenants = {tenant("club-1", {key})};
    store.put("op/config", manifest.encode());

    int lastWorker = 0;
    std::vector<std::unique_ptr<Worker>> workers;
    const auto addWorker = [&](const std::string &zone) {
        ++lastWorker;
        workers.push_back(std::make_unique<Worker>(store,
                                                   WorkerOptions{.id = "i-" + std::to_string(1000 + lastWorker),
                                                                 .service = "logbook",
                                                                 .ip = addresses.ip(100 + lastWorker),
                                                                 .zone = zone,
                                                                 .capacity = 6,
                                                                 .work = 0.06}));
        workers.back()->reportReady();
        return workers.back().get();
    };
    const std::vector<std::string> zones = {"seq-a", "seq-a", "seq-b", "seq-c"};
    const auto port = [&] { return freePort(addresses.ip(1)); };
    const std::uint16_t callerPort = port(), readyPort = port(), peerPort = port(), relayPort = port();
    std::vector<std::unique_ptr<Host>> hosts;
    for (int i = 0; i < 4; ++i) {
        hosts.push_back(std::make_unique<Host>(HostOptions{.number = i + 1,
                                                           .ip = addresses.ip(i + 1),
                                                           .zone = zones[i],
                                                           .store = store.listen(addresses.ip(250), i + 1),
                                                           .callerPort = callerPort,
                                                           .readyPort = readyPort,
                                                           .peerPort = peerPort,
                                                           .relayPort = relayPort,
                                                           .workFolder = arguments[2]}));
        hosts.back()->start();
    }
    // Two of 14 workers, 0.143 of the service, are taken away at a time.
    for (int i = 0; i < 6; ++i) {
        addWorker("seq-b");
        addWorker("seq-c");
    }
    for (const auto &host : hosts) {
        if (!host->awaitReady(10)) {
            record("a host does not become ready");
            return 2;
        }
    }
    sleepFor(6);

    int late = 0;
    int lost = 0;
    int asked = 0;
    // Either host of seq-a is cut off once; the balancer sends the consumers of that zone to its neighbour.
    for (int victim = 1; victim <= 2; ++victim) {
        const Host &neighbour = *hosts[victim == 1 ? 1 : 0];
        Worker *first = addWorker("seq-a");
        Worker *second = addWorker("seq-a");
        sleepFor(4);
        const double cutAt = now() + 1;
        sleepUntil(cutAt - 0.30);
        addWorker("seq-b");
        sleepUntil(cutAt - 0.05);
        addWorker("seq-c");
        sleepUntil(cutAt - 0.02);
        first->reportDraining();
        sleepUntil(cutAt);
        if (trouble()) {
            store.setCut(victim, true);
            record("host " + std::to_string(victim) + " is cut off from the store");
        }
        sleepUntil(cutAt + 0.1);
        second->reportDraining();
        const double acked = now();
        std::thread removal([&] {
            sleepUntil(acked + drainS + serveOn);
            first->unregister();
            second->unregister();
            first->exit();
            second->exit();
        });
        std::vector<std::thread> consumers;
        std::mutex mutex;
        std::vector<Outcome> outcomes;
        std::vector<double> sendAt(12, acked + drainS + 0.03);
        for (double at = acked + drainS + 0.04; at < acked + drainS + 0.5; at += 0.01) {
            sendAt.push_back(at);
        }
        for (const double at : sendAt) {
            consumers.emplace_back([&, at] {
                sleepUntil(at);
                const Outcome outcome = call(neighbour.callers(), {.path = "/tow/charge", .key = key});
                const std::lock_guard lock(mutex);
                outcomes.push_back(outcome);
            });
        }
        for (std::thread &consumer : consumers) {
            consumer.join();
        }
        removal.join();
        for (const Outcome &outcome : outcomes) {
            ++asked;
            std::string ranOn = " not run";
            for (const auto &worker : workers) {
                for (const Worker::Run &run : worker->runs()) {
                    if (run.attempt == outcome.attempt) {
                        ranOn = " ran on " + worker->id();
                        const bool isLate = worker.get() == second && outcome.sentAt > acked + drainS;
                        late += isLate ? 1 : 0;
                        lost += isLate && outcome.status != 200 ? 1 : 0;
                    }
                }
            }
            record("request " + outcome.attempt + " sent " + std::to_string(outcome.sentAt - acked)
                   + " s after the ack of draining of " + second->id() + ranOn + ", consumer got "
                   + std::to_string(outcome.status));
        }
        sleepUntil(cutAt + cutS);
        store.setCut(victim, false);
        record("host " + std::to_string(victim) + " reaches the store again");
        sleepFor(6);
    }
    for (const auto &host : hosts) {
        if (!host->running()) {
            record("a host has ended");
        }
        host->kill();
    }
    verdict(late > 0,
            std::to_string(late) + " of " + std::to_string(asked)
                + " requests ran on a worker later than DrainMs after its draining was acknowledged, "
                + std::to_string(lost) + " of them were lost as it exited");
}
