#include "platformstandin/SilentFleet.h"

#include <iostream>
#include <map>
#include <optional>
#include <popt.h>
#include <string>

using namespace Carawaymill;

static std::optional<FleetTrouble> troubleNamed(const std::string &name)
{
    static const std::map<std::string, FleetTrouble> troubles{{"silent-engines", EnginesSilent{}},
                                                              {"killed-hosts", HostsKilled{}},
                                                              {"stopped-hosts", HostsStopped{}},
                                                              {"reloads", SettingsReloaded{}},
                                                              {"store-down", StoreDown{}},
                                                              {"crashing-request", TargetsCrashed{}},
                                                              {"endless-answers", EndlessAnswers{}}};
    const auto found = troubles.find(name);
    return found != troubles.end() ? std::optional(found->second) : std::nullopt;
}

int main(int argc, const char **argv)
{
    char *daemon = nullptr;
    char *workFolder = nullptr;
    char *servedTarget = nullptr;
    int withoutRelays = 0;
    int seed = 1;
    int hosts = 4;
    int engines = 13;
    int requestsPerSecond = 75;
    int rounds = 4;
    char *trouble = nullptr;
    const poptOption table[] = {
        {"daemon", 'd', POPT_ARG_STRING, &daemon, 0, "daemon to play", "PROGRAM"},
        {"without-relays", 0, POPT_ARG_NONE, &withoutRelays, 0, "the daemon's build has no relay port", nullptr},
        {"work", 'w', POPT_ARG_STRING, &workFolder, 0, "folder for settings files and logs", "FOLDER"},
        {"seed", 's', POPT_ARG_INT, &seed, 0, "seed of the load and of the silences", "N"},
        {"hosts", 0, POPT_ARG_INT, &hosts, 0, "number of hosts", "N"},
        {"engines", 0, POPT_ARG_INT, &engines, 0, "number of engines", "N"},
        {"requests-per-second", 0, POPT_ARG_INT, &requestsPerSecond, 0, "requests of all callers", "N"},
        {"trouble",
         't',
         POPT_ARG_STRING,
         &trouble,
         0,
         "silent-engines (the default), killed-hosts, stopped-hosts, reloads, store-down, crashing-request or "
         "endless-answers",
         "NAME"},
        {"rounds", 0, POPT_ARG_INT, &rounds, 0, "how often the trouble comes, every 6 s", "N"},
        {"serve-target",
         0,
         POPT_ARG_STRING,
         &servedTarget,
         0,
         "serve as one target; for this program's own use",
         "JSON"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("carawaymill-silent-fleet", argc, argv, table, 0);
    const bool isRead = poptGetNextOpt(context) >= -1;
    if (isRead && servedTarget != nullptr) {
        serveAsTargetProcess(servedTarget);
        return 0;
    }
    const std::optional<FleetTrouble> played = troubleNamed(trouble != nullptr ? trouble : "silent-engines");
    if (!isRead || daemon == nullptr || workFolder == nullptr || !played) {
        std::cerr << "carawaymill-silent-fleet: --daemon, --work and the name of a trouble are needed\n";
        return 2;
    }
    SilentFleet fleet({.daemon = daemon,
                       .targetProgram = argv[0],
                       .relays = withoutRelays == 0,
                       .workFolder = workFolder,
                       .seed = static_cast<std::uint64_t>(seed),
                       .hosts = static_cast<std::size_t>(hosts),
                       .engines = static_cast<std::size_t>(engines),
                       .requestsPerSecond = static_cast<double>(requestsPerSecond),
                       .trouble = *played,
                       .rounds = static_cast<std::size_t>(rounds)});
    return fleet.run() ? 0 : 1;
}
