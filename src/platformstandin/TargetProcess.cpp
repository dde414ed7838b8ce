#include "platformstandin/TargetProcess.h"

#include "support/BootClock.h"
#include "support/Codec.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>
#include <istream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Carawaymill {

static constexpr std::chrono::milliseconds tickInterval(5);

static std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

static nlohmann::json encode(const TargetStandInOptions &options)
{
    nlohmann::json json{{"id", options.id.value()},
                        {"service", options.service.value()},
                        {"failureDomain", options.failureDomain.value()},
                        {"concurrency", options.concurrency},
                        {"streams", options.streams},
                        {"eventsPerStream", options.eventsPerStream},
                        {"paceMs", toMilliseconds(options.pace)},
                        {"crashingPath", options.crashingPath}};
    if (options.engine) {
        json["acceleratorKind"] = options.engine->acceleratorKind;
    }
    return json;
}

static TargetStandInOptions decode(const nlohmann::json &json)
{
    TargetStandInOptions options{.id = TargetId(json.at("id").get<std::string>()),
                                 .service = ServiceId(json.at("service").get<std::string>()),
                                 .failureDomain = FailureDomainId(json.at("failureDomain").get<std::string>()),
                                 .concurrency = json.at("concurrency").get<std::uint32_t>(),
                                 .streams = json.at("streams").get<bool>(),
                                 .eventsPerStream = json.at("eventsPerStream").get<EventCount>(),
                                 .pace = std::chrono::milliseconds(json.at("paceMs").get<std::int64_t>()),
                                 .crashingPath = json.at("crashingPath").get<std::string>()};
    if (json.contains("acceleratorKind")) {
        options.engine =
            EngineStandInProfile{.acceleratorKind = json.at("acceleratorKind").get<std::string>(), .layers = {}};
    }
    return options;
}

std::unique_ptr<TargetProcess>
TargetProcess::start(boost::asio::io_context &context, const std::string &program, const TargetStandInOptions &options)
{
    std::array<int, 2> pipeEnds{};
    if (pipe(pipeEnds.data()) != 0) {
        return nullptr;
    }
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_adddup2(&files, pipeEnds[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&files, pipeEnds[0]);
    posix_spawn_file_actions_addclose(&files, pipeEnds[1]);
    std::string path = program;
    std::string flag = "--serve-target";
    std::string described = encode(options).dump();
    const std::array<char *, 4> arguments{path.data(), flag.data(), described.data(), nullptr};
    pid_t process = 0;
    const int failure = posix_spawn(&process, path.c_str(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    ::close(pipeEnds[1]);
    if (failure != 0) {
        ::close(pipeEnds[0]);
        return nullptr;
    }
    std::unique_ptr<TargetProcess> target(new TargetProcess(context, options.id, process, pipeEnds[0]));
    target->readLine();
    return target;
}

TargetProcess::TargetProcess(boost::asio::io_context &context, TargetId id, pid_t process, int output)
    : m_id(std::move(id))
    , m_process(process)
    , m_output(context, output)
{
}

TargetProcess::~TargetProcess()
{
    kill();
}

void TargetProcess::kill()
{
    if (!std::exchange(m_killed, true)) {
        ::kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
}

void TargetProcess::pause() const
{
    ::kill(m_process, SIGSTOP);
}

void TargetProcess::resume() const
{
    ::kill(m_process, SIGCONT);
}

void TargetProcess::readLine()
{
    boost::asio::async_read_until(
        m_output, m_buffer, '\n', [this](const boost::system::error_code &error, std::size_t) {
            if (error) {
                m_ended = true;
                return;
            }
            std::istream stream(&m_buffer);
            std::string line;
            std::getline(stream, line);
            handleLine(line);
            readLine();
        });
}

void TargetProcess::handleLine(const std::string &line)
{
    const auto parsed = parseJson(line);
    const auto *json = std::get_if<nlohmann::json>(&parsed);
    if (json == nullptr) {
        return;
    }
    if (json->contains("record")) {
        m_record = json->at("record");
        m_recordChanged = true;
        return;
    }
    TargetArrival arrival{.attempt = json->at("attempt").get<std::string>(),
                          .at = TimePoint(std::chrono::milliseconds(json->at("atMs").get<std::int64_t>())),
                          .ran = json->at("ran").get<bool>()};
    if (json->contains("timeLeftMs")) {
        arrival.timeLeft = std::chrono::milliseconds(json->at("timeLeftMs").get<std::int64_t>());
    }
    m_arrivals.push_back(std::move(arrival));
}

void serveAsTargetProcess(const std::string &options)
{
    const pid_t parent = getppid();
    boost::asio::io_context context;
    TargetStandIn target(context, decode(nlohmann::json::parse(options)));
    std::size_t reported = 0;
    std::cout << nlohmann::json{{"record", target.record()}} << std::endl;
    boost::asio::steady_timer timer(context);
    std::function<void()> tick = [&] {
        if (getppid() != parent) {
            context.stop();
            return;
        }
        target.tick(readBootClock());
        if (target.takeRecordChange()) {
            std::cout << nlohmann::json{{"record", target.record()}} << std::endl;
        }
        for (; reported < target.arrivals().size(); ++reported) {
            const TargetArrival &arrival = target.arrivals()[reported];
            nlohmann::json json{{"attempt", arrival.attempt},
                                {"atMs", toMilliseconds(arrival.at.time_since_epoch())},
                                {"ran", arrival.ran}};
            if (arrival.timeLeft) {
                json["timeLeftMs"] = toMilliseconds(*arrival.timeLeft);
            }
            std::cout << json << std::endl;
        }
        if (target.hasCrashed()) {
            context.stop();
            return;
        }
        timer.expires_after(tickInterval);
        timer.async_wait([&tick](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
    };
    tick();
    context.run();
}

} // namespace Carawaymill
