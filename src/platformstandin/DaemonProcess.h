#pragma once

#include "support/Time.h"
#include "support/Units.h"

#include <cstddef>
#include <memory>
#include <string>
#include <sys/types.h>

namespace Carawaymill {

struct DaemonProcessOptions
{
    /// Path of the program.
    std::string program;
    /// Path of its settings file.
    std::string settings;
    /// Path of the file to which its output is appended.
    std::string log;
};

/// A daemon that runs as a process of its own, so that its build may differ from this one. Killed on destruction.
class DaemonProcess
{
public:
    /// Null if the process could not be started.
    [[nodiscard]] static std::unique_ptr<DaemonProcess> start(const DaemonProcessOptions &options);

    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;
    ~DaemonProcess();

    /// Sends SIGTERM.
    void terminate() const;

    /// Sends SIGHUP, as after a change of the settings file.
    void reload() const;

    /// The most memory that the process has had resident so far; 0 once it has ended.
    [[nodiscard]] ByteCount peakMemory() const;

    /// Number of descriptors that the process has open; 0 once it has ended.
    [[nodiscard]] std::size_t openDescriptors() const;

    /// Whether the process has ended.
    [[nodiscard]] bool hasEnded();

    /// Whether the process has ended with status 0.
    [[nodiscard]] bool hasEndedWell() const { return m_ended && m_status == 0; }

private:
    explicit DaemonProcess(pid_t process)
        : m_process(process)
    {
    }

    pid_t m_process;
    bool m_ended = false;
    int m_status = 0;
};

} // namespace Carawaymill
