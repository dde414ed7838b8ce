#include "platformstandin/SilentFleet.h"

#include <iostream>
#include <popt.h>

using namespace Carawaymill;

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
    int silences = 4;
    const poptOption table[] = {
        {"daemon", 'd', POPT_ARG_STRING, &daemon, 0, "daemon to play", "PROGRAM"},
        {"without-relays", 0, POPT_ARG_NONE, &withoutRelays, 0, "the daemon's build has no relay port", nullptr},
        {"work", 'w', POPT_ARG_STRING, &workFolder, 0, "folder for settings files and logs", "FOLDER"},
        {"seed", 's', POPT_ARG_INT, &seed, 0, "seed of the load and of the silences", "N"},
        {"hosts", 0, POPT_ARG_INT, &hosts, 0, "number of hosts", "N"},
        {"engines", 0, POPT_ARG_INT, &engines, 0, "number of engines", "N"},
        {"requests-per-second", 0, POPT_ARG_INT, &requestsPerSecond, 0, "requests of all callers", "N"},
        {"silences", 0, POPT_ARG_INT, &silences, 0, "how often engines fall silent, every 6 s", "N"},
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
    if (!isRead || daemon == nullptr || workFolder == nullptr) {
        std::cerr << "carawaymill-silent-fleet: --daemon and --work are needed\n";
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
                       .silences = static_cast<std::size_t>(silences)});
    return fleet.run() ? 0 : 1;
}
