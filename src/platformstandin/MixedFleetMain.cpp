#include "platformstandin/MixedFleet.h"

#include <iostream>
#include <popt.h>

using namespace Carawaymill;

int main(int argc, const char **argv)
{
    char *oldProgram = nullptr;
    char *newProgram = nullptr;
    char *workFolder = nullptr;
    int withoutRelays = 0;
    int withoutAttribution = 0;
    const poptOption table[] = {
        {"old", 'o', POPT_ARG_STRING, &oldProgram, 0, "daemon of the old build", "PROGRAM"},
        {"new", 'n', POPT_ARG_STRING, &newProgram, 0, "daemon of the new build", "PROGRAM"},
        {"work", 'w', POPT_ARG_STRING, &workFolder, 0, "folder for settings files and logs", "FOLDER"},
        {"old-without-relays", 0, POPT_ARG_NONE, &withoutRelays, 0, "the old build has no relay port", nullptr},
        {"old-without-attribution",
         0,
         POPT_ARG_NONE,
         &withoutAttribution,
         0,
         "the old build attributes no crashes",
         nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("carawaymill-mixed-fleet", argc, argv, table, 0);
    if (poptGetNextOpt(context) < -1 || oldProgram == nullptr || newProgram == nullptr || workFolder == nullptr) {
        std::cerr << "carawaymill-mixed-fleet: --old, --new and --work are needed\n";
        return 2;
    }
    MixedFleet fleet({.oldBuild = {.program = oldProgram,
                                   .relays = withoutRelays == 0,
                                   .attributesCrashes = withoutAttribution == 0},
                      .newBuild = {.program = newProgram},
                      .workFolder = workFolder});
    return fleet.run() ? 0 : 1;
}
