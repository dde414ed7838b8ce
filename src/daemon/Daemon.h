#pragma once

#include "daemon/DaemonSettings.h"

#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Carawaymill {

/// The daemon could not begin its work: an address cannot be listened on, or an option is wrong.
struct StartFailure
{
    std::string reason;
};

/// Runs one node on real sockets: feeds it what happens, and carries out what it decides.
///
/// Everything runs in the thread that runs the context; only nng receives in threads of its own.
class Daemon
{
public:
    [[nodiscard]] static Result<std::unique_ptr<Daemon>, StartFailure> create(boost::asio::io_context &context,
                                                                              DaemonSettings settings);

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;
    ~Daemon();

    /// Takes no new work, finishes what is in progress, and then stops the context.
    void drain();

    /// The settings file may have changed. What is read at the start stays in force until the next one.
    void settingsChanged();

    [[nodiscard]] std::uint16_t callerPort() const;
    [[nodiscard]] std::uint16_t operatorPort() const;

private:
    class Implementation;
    explicit Daemon(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Carawaymill
