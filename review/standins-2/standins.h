// Stand-ins for the platform that the cases of review/REPORT-2.md start: a metadata store, workers, consumers, and the
// daemons as processes of their own. Written from the users' pages. Each stand-in uses blocking sockets and threads.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

using Json = nlohmann::json;

/// Milliseconds since the program began, by the steady clock.
std::int64_t nowMs();
void sleepMs(std::int64_t milliseconds);
void sleepUntilMs(std::int64_t time);
std::int64_t unixMs();

/// Lines of record.txt, with the time since the program began.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

struct Request
{
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    [[nodiscard]] std::string header(const std::string &name) const;
    [[nodiscard]] std::string path() const { return target.substr(0, target.find('?')); }
    [[nodiscard]] std::string query(const std::string &name) const;
};

struct Response
{
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    [[nodiscard]] std::string header(const std::string &name) const;
};

/// A connection of a server, on which a handler may also write bytes of its own.
class Connection
{
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    [[nodiscard]] bool write(const std::string &bytes) const;
    [[nodiscard]] bool respond(const Response &response) const;
    /// Whether the other side has closed the connection.
    [[nodiscard]] bool isClosed() const;
    [[nodiscard]] int descriptor() const { return m_descriptor; }

private:
    int m_descriptor;
};

/// An HTTP/1.1 server with a thread for each connection. The handler returns whether the connection stays open.
class Server
{
public:
    using Handler = std::function<bool(const Request &request, const Connection &connection)>;

    Server(const std::string &ip, std::uint16_t port, Handler handler);
    ~Server();
    [[nodiscard]] std::string address() const { return m_address; }
    /// Closes the listener and all connections.
    void stop();

private:
    void accept();
    void serve(int descriptor);

    Handler m_handler;
    int m_listener;
    std::string m_address;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::atomic<int> m_threads = 0;
    std::thread m_accepting;
};

enum class LinkState {
    Open,
    /// Open connections are reset and new ones are refused.
    Cut,
};

/// Forwards connections to an address.
class Proxy
{
public:
    Proxy(const std::string &ip, std::string target);
    ~Proxy();
    [[nodiscard]] std::string address() const { return m_address; }
    void setState(LinkState state);

private:
    void listen(std::uint16_t port);
    void accept(int listener);
    void resetAll();

    std::string m_ip;
    std::string m_target;
    std::string m_address;
    std::uint16_t m_port = 0;
    std::atomic<int> m_listener = -1;
    std::atomic<int> m_threads = 0;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::vector<std::thread> m_accepting;
};

struct Item
{
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
};

/// The platform's metadata store. Its state may return to an earlier copy, which raises the era.
class Store
{
public:
    Store();
    ~Store();

    /// Opens a listener. `rewrite` may change the value of an item that is read there.
    [[nodiscard]] std::string
    listen(std::function<std::string(const std::string &key, const std::string &value)> rewrite = nullptr);

    /// Writes as the operators or the workers do; returns the time of the ack.
    std::int64_t put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// While the store is away, connections are refused.
    void setAway(bool away);
    void keepCopy();
    /// Comes back from the copy: what the system has written is gone, leases too; revisions go back; the era rises.
    void returnFromCopy();
    [[nodiscard]] std::optional<std::string> value(const std::string &key);

private:
    struct Event
    {
        std::uint64_t revision;
        std::string key;
        std::optional<Item> item;
    };
    struct State
    {
        std::uint64_t revision = 100;
        std::map<std::string, Item> items;
        std::vector<Event> history;
    };
    struct Lease
    {
        std::int64_t ttl;
        std::int64_t until;
    };

    bool handle(const Request &request,
                const Connection &connection,
                const std::function<std::string(const std::string &, const std::string &)> &rewrite);
    Response answer(const Request &request,
                    const std::function<std::string(const std::string &, const std::string &)> &rewrite);
    Response watch(const Request &request,
                   const std::function<std::string(const std::string &, const std::string &)> &rewrite);
    void change(const std::string &key, std::optional<Item> item);
    void expireLeases();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state;
    State m_copy;
    std::uint64_t m_firstRevision = 100;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_lastLease = 1000;
    std::uint64_t m_era = 1;
    bool m_away = false;
    std::atomic<bool> m_stopped = false;
    std::thread m_ticking;
    std::vector<std::unique_ptr<Server>> m_servers;
};

/// A request that a worker began to run.
struct Run
{
    std::string attempt;
    std::int64_t at;
    std::string tenant;
    std::size_t bodyBytes;
    std::string worker;
};

struct WorkerOptions
{
    std::string id;
    std::string service;
    std::string zone;
    std::int64_t workMs = 20;
    std::string ip = "127.0.0.1";
    /// Fields that the worker's record and its report have besides the usual ones.
    Json fields = Json::object();
};

/// A worker of a plain service.
class Worker
{
public:
    Worker(Store &store, WorkerOptions options);
    [[nodiscard]] const WorkerOptions &options() const { return m_options; }
    [[nodiscard]] std::string address() const { return m_server->address(); }
    [[nodiscard]] std::vector<Run> runs();
    void registerSelf();
    /// Called instead of the usual answer if set; returns whether the connection stays open.
    std::function<bool(const Request &request, const Connection &connection)> answer;

private:
    bool handle(const Request &request, const Connection &connection);

    Store &m_store;
    WorkerOptions m_options;
    std::int64_t m_born;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::unique_ptr<Server> m_server;
};

struct Answer
{
    /// 0: the connection failed before a complete answer.
    int status = 0;
    /// Whether a connection could be opened.
    bool connected = false;
    Response response;
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
};

/// A connection of a consumer that is kept for several requests.
class Channel
{
public:
    explicit Channel(const std::string &address);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;
    [[nodiscard]] bool isOpen() const { return m_descriptor >= 0; }
    /// Sends a request and reads its answer; closes the connection if none comes or the answer says so.
    Answer call(const Request &request, std::int64_t timeoutMs);

private:
    int m_descriptor;
};

/// Sends one request on a new connection and reads its answer.
Answer call(const std::string &address, const Request &request, std::int64_t timeoutMs);

/// A daemon as a process of its own, started with the command of deploy/system.toml and the settings that
/// deploy/settings.json.template makes.
struct HostOptions
{
    std::string ip;
    std::string zone;
    std::string store;
    std::vector<std::string> seeds;
    std::uint16_t frontend = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t firstPort = 0;
    std::uint16_t lastPort = 0;
    int memoryMb = 260;
    int maxFds = 4200;
};

class Host
{
public:
    Host(std::string folder, HostOptions options);
    ~Host();
    void start();
    void signal(int number) const;
    /// Waits until the process has ended.
    bool waitEnded(std::int64_t timeoutMs);
    [[nodiscard]] bool hasEnded();
    /// Status of the last process as waitpid returns it.
    [[nodiscard]] int status() const { return m_status; }
    [[nodiscard]] pid_t process() const { return m_process; }
    /// Resident memory of the process without pages of files, in kB.
    [[nodiscard]] std::size_t memoryKb() const;
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::string frontend() const;
    [[nodiscard]] const HostOptions &options() const { return m_options; }

private:
    std::string m_folder;
    HostOptions m_options;
    pid_t m_process = -1;
    int m_status = 0;
};

/// A folder below the system's temporary folder that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    [[nodiscard]] const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

/// Addresses of four hosts in three zones on loopback, with ports that are free on all of them.
std::vector<HostOptions> smallDeployment();

/// A line for record.txt on a request: when it was sent and answered (status 0: not), and by which worker it was run.
std::string describeRequest(const std::string &attempt,
                            const std::string &host,
                            std::int64_t sentAt,
                            int status,
                            std::int64_t endedAt,
                            const std::map<std::string, Run> &runs);

/// Random hexadecimal digits for attempt ids and keys.
std::string randomId();

/// The value of TROUBLE in the environment is not 0.
bool hasTrouble();

} // namespace review
