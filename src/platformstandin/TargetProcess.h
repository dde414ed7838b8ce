#pragma once

#include "platformstandin/TargetStandIn.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/streambuf.hpp>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace Carawaymill {

/// A target stand-in that runs as a process of its own, so that it can be stopped by a signal while the kernel still
/// accepts connections and bytes for it. Killed on destruction.
class TargetProcess
{
public:
    /// Null if the process could not be started. `program` is one whose main function calls `serveAsTargetProcess`.
    [[nodiscard]] static std::unique_ptr<TargetProcess>
    start(boost::asio::io_context &context, const std::string &program, const TargetStandInOptions &options);

    TargetProcess(const TargetProcess &) = delete;
    TargetProcess &operator=(const TargetProcess &) = delete;
    ~TargetProcess();

    /// Ends the process at once; what it has reported stays.
    void kill();

    /// Stops the process until resume().
    void pause() const;
    void resume() const;

    [[nodiscard]] const TargetId &id() const { return m_id; }

    /// The target's record in the directory; empty until the process has started.
    [[nodiscard]] const nlohmann::json &record() const { return m_record; }

    /// Whether the record has changed since the last call.
    [[nodiscard]] bool takeRecordChange() { return std::exchange(m_recordChanged, false); }

    /// Whether the process has ended by itself, because a request crashed it.
    [[nodiscard]] bool hasEnded() const { return m_ended; }

    /// Requests of callers, in the order in which the process has read them.
    [[nodiscard]] const std::vector<TargetArrival> &arrivals() const { return m_arrivals; }

private:
    TargetProcess(boost::asio::io_context &context, TargetId id, pid_t process, int output);
    void readLine();
    void handleLine(const std::string &line);

    TargetId m_id;
    pid_t m_process;
    boost::asio::posix::stream_descriptor m_output;
    boost::asio::streambuf m_buffer;
    nlohmann::json m_record;
    bool m_recordChanged = false;
    bool m_ended = false;
    bool m_killed = false;
    std::vector<TargetArrival> m_arrivals;
};

/// Runs the target that `options` describes, as a TargetProcess passes it, until the parent process ends.
void serveAsTargetProcess(const std::string &options);

} // namespace Carawaymill
