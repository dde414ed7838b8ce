#include "daemon/Daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>

#include <fcntl.h>
#include <popt.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>

using namespace Carawaymill;

namespace {

/// What the process ends with. Documented in docs/RUNNING.md.
enum ExitCode {
    ExitSuccess = 0,
    ExitWrongCommandLine = 2,
    ExitWrongSettings = 2,
    ExitCannotStart = 4,
};

/// Names the settings file where the command line does not.
constexpr const char *settingsVariable = "CARAWAYMILL_CONFIG";

struct CommandLine
{
    std::string settingsFile;
    bool checkOnly = false;
    /// Bounds of the deployment, in place of those of the settings file; 0 leaves these.
    std::chrono::milliseconds drainPeriod{};
    std::chrono::milliseconds configurationApplyPeriod{};
    /// Memory of the host, in place of that of the settings file; 0 leaves it.
    int memoryMegabytes = 0;
};

/// Reads the command line; exits when it is wrong.
CommandLine readCommandLine(int argc, const char **argv)
{
    char *settings = nullptr;
    int checkOnly = 0;
    int drainMilliseconds = 0;
    int applyMilliseconds = 0;
    char *memoryMegabytes = nullptr;
    const char *const fromEnvironment = std::getenv(settingsVariable);
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &settings, 0, "JSON file with the daemon's settings", "FILE"},
        {"check", 'c', POPT_ARG_NONE, &checkOnly, 0, "check the settings and exit", nullptr},
        {"drain-milliseconds",
         0,
         POPT_ARG_INT,
         &drainMilliseconds,
         0,
         "time for which a leaving target runs requests",
         "N"},
        {"configuration-apply-milliseconds",
         0,
         POPT_ARG_INT,
         &applyMilliseconds,
         0,
         "time within which a configuration is in force",
         "N"},
        {"memory-megabytes", 0, POPT_ARG_STRING, &memoryMegabytes, 0, "memory of the host", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(nullptr, argc, argv, static_cast<const poptOption *>(options), 0);
    if (poptGetNextOpt(context) < -1 || (settings == nullptr && fromEnvironment == nullptr)) {
        poptPrintUsage(context, stderr, 0);
        std::exit(ExitWrongCommandLine);
    }
    CommandLine line{.settingsFile = settings != nullptr ? settings : fromEnvironment,
                     .checkOnly = checkOnly != 0,
                     .drainPeriod = std::chrono::milliseconds(drainMilliseconds),
                     .configurationApplyPeriod = std::chrono::milliseconds(applyMilliseconds),
                     .memoryMegabytes = memoryMegabytes != nullptr ? std::atoi(memoryMegabytes) : 0};
    if (memoryMegabytes != nullptr && line.memoryMegabytes <= 0) {
        LOG(WARNING) << "Daemon: --memory-megabytes is no number above 0 and ignored.";
    }
    std::free(settings);
    std::free(memoryMegabytes);
    poptFreeContext(context);
    return line;
}

/// Reads the settings file; exits when it is wrong. Bounds on the command line replace those of the file.
DaemonSettings readSettings(const CommandLine &line)
{
    std::ifstream stream(line.settingsFile);
    if (!stream) {
        LOG(ERROR) << "Daemon: cannot read the settings file.";
        std::exit(ExitWrongSettings);
    }
    const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    auto settings = readDaemonSettings(text);
    if (const auto *invalid = std::get_if<InvalidSettings>(&settings)) {
        for (const SettingFault &fault : invalid->faults) {
            LOG(ERROR) << "Daemon: setting " << fault.field << ": " << fault.reason;
        }
        std::exit(ExitWrongSettings);
    }
    auto valid = std::get<DaemonSettings>(std::move(settings));
    if (valid.forwarding && line.drainPeriod > Duration::zero()) {
        valid.forwarding->propagation.drainPeriod = line.drainPeriod;
    }
    if (valid.forwarding && line.configurationApplyPeriod > Duration::zero()) {
        valid.forwarding->propagation.configurationApplyPeriod = line.configurationApplyPeriod;
    }
    if (line.memoryMegabytes > 0) {
        valid.memory = ByteCount(static_cast<std::uint64_t>(line.memoryMegabytes) << 20U);
    }
    return valid;
}

} // namespace

int main(int argc, const char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostdout = true;
    // A signal that stops the process must not come before it is handled.
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);
    // A reader of the log that falls behind loses lines rather than holding up requests.
    (void)fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    const CommandLine line = readCommandLine(argc, argv);
    DaemonSettings settings = readSettings(line);
    if (line.checkOnly) {
        LOG(INFO) << "Daemon: the settings are good.";
        return ExitSuccess;
    }
    boost::asio::io_context context;
    auto daemon = Daemon::create(context, std::move(settings));
    if (const auto *failure = std::get_if<StartFailure>(&daemon)) {
        LOG(ERROR) << "Daemon: cannot start: " << failure->reason << ".";
        return ExitCannotStart;
    }
    auto &running = *std::get<std::unique_ptr<Daemon>>(daemon);
    LOG(INFO) << "Daemon: answers callers on port " << running.callerPort() << ", operators on port "
              << running.operatorPort() << ".";
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    std::function<void(const boost::system::error_code &, int)> signalled;
    signalled = [&](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            running.settingsChanged();
        } else {
            running.drain();
        }
        signals.async_wait(signalled);
    };
    signals.async_wait(signalled);
    context.run();
    return ExitSuccess;
}
