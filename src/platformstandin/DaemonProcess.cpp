#include "platformstandin/DaemonProcess.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <string>
#include <string_view>
#include <sys/wait.h>
#include <unistd.h>

namespace Carawaymill {

static constexpr mode_t logMode = 0600;

std::unique_ptr<DaemonProcess> DaemonProcess::start(const DaemonProcessOptions &options)
{
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(
        &files, STDOUT_FILENO, options.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    std::string program = options.program;
    std::string flag = "--settings";
    std::string settings = options.settings;
    const std::array<char *, 4> arguments{program.data(), flag.data(), settings.data(), nullptr};
    pid_t process = 0;
    const int failure = posix_spawn(&process, program.c_str(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    return failure == 0 ? std::unique_ptr<DaemonProcess>(new DaemonProcess(process)) : nullptr;
}

DaemonProcess::~DaemonProcess()
{
    if (!m_ended) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
}

void DaemonProcess::terminate() const
{
    if (!m_ended) {
        kill(m_process, SIGTERM);
    }
}

void DaemonProcess::reload() const
{
    if (!m_ended) {
        kill(m_process, SIGHUP);
    }
}

ByteCount DaemonProcess::peakMemory() const
{
    static constexpr std::string_view field = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field)) {
            return ByteCount(std::stoull(line.substr(field.size())) << 10U);
        }
    }
    return {};
}

std::size_t DaemonProcess::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_process) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

bool DaemonProcess::hasEnded()
{
    m_ended = m_ended || waitpid(m_process, &m_status, WNOHANG) == m_process;
    return m_ended;
}

} // namespace Carawaymill
