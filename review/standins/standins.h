// Small stand-ins for the platform's store, plain workers and consumers, and the start of entry hosts as processes.
// Written from the platform's published protocol. Everything listens on addresses of 127.0.0.0/8 and on free ports.
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
#include <vector>

namespace review {

using Json = nlohmann::json;

/// Seconds since the start of the program.
double now();
void sleepUntil(double time);
void sleepFor(double seconds);

/// Appends a line with the present time to the record of the case.
void openRecord(const std::string &path);
void record(const std::string &line);

/// Whether the disruption is to be caused (TROUBLE is not 0).
bool trouble();

struct Message
{
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Empty if there is no such header.
    std::string header(const std::string &name) const;
    std::string path() const;
    std::string query(const std::string &name) const;
};

/// One TCP connection with blocking calls. Closes the socket on destruction.
class Connection
{
public:
    explicit Connection(int socket)
        : m_socket(socket)
    {
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    ~Connection() { close(); }

    /// Null if the connection cannot be opened in time.
    static std::unique_ptr<Connection> open(const std::string &address, double timeout);

    /// False if the connection ended or the deadline passed first.
    bool readMessage(Message &message, double deadline);
    bool write(const std::string &bytes);
    /// Whether the other side has closed the connection.
    bool peerClosed() const;
    /// Closes the connection with a reset.
    void reset();
    void close();
    /// Makes blocked reads and writes of other threads fail.
    void interrupt();

private:
    bool fill(double deadline);

    int m_socket;
    std::string m_buffer;
};

/// Listens on `ip` and a free port; one thread for each connection.
class Server
{
public:
    using Handler = std::function<void(Connection &connection, const Message &request)>;

    Server(const std::string &ip, Handler handler, std::uint16_t port = 0);

    ~Server() { stop(); }

    const std::string &address() const { return m_address; }

    /// Closes the listening socket and all connections.
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
    std::string m_address;
};

/// The response as bytes; `close` adds `Connection: close`.
std::string encode(const Message &response);

std::uint16_t freePort(const std::string &ip);

/// The platform's metadata store. Each entry host reaches it at an address of its own, so that a single host can be cut
/// off from it.
class Store
{
public:
    /// Returns the address for the entry host with this number.
    std::string listen(const std::string &ip, int host);

    /// Nothing gets through between the host and the store; calls that wait are answered after the cut, if their
    /// callers still wait.
    void setCut(int host, bool cut);

    /// The store answers nobody.
    void setAway(bool away);

    /// A write of the operator or of a worker. Returns when the store has accepted it.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    struct Copy;
    std::shared_ptr<Copy> copy();
    /// The store continues from an older copy: later changes and leases are gone, and `Store-Era` rises by one.
    void restore(const Copy &copy);

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct Lease
    {
        double ttl = 0;
        double until = 0;
    };

    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        bool deleted = false;
        Item item;
    };

public:
    struct Copy
    {
        std::map<std::string, Item> items;
        std::map<std::uint64_t, Lease> leases;
        std::vector<Event> events;
        std::uint64_t revision = 0;
    };

private:
    void handle(int host, Connection &connection, const Message &request);
    Message answer(const Message &request, std::unique_lock<std::mutex> &lock, int host, Connection &connection);
    void expireLeases();
    void write(const std::string &key, const std::string &value, std::uint64_t lease);
    void erase(const std::string &key);
    Json itemJson(const std::string &key, const Item &item) const;

    bool reachable(int host) const { return !m_away && !m_cut.contains(host); }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 400;
    std::uint64_t m_lastLease = 77000;
    std::uint64_t m_era = 1;
    std::set<int> m_cut;
    bool m_away = false;
    std::vector<std::unique_ptr<Server>> m_servers;
};

struct WorkerOptions
{
    std::string id;
    std::string service;
    std::string ip;
    std::string zone;
    int capacity = 6;
    double work = 0.03;
};

/// A worker of a service without model. It runs each request that reaches it and expects it.
class Worker
{
public:
    struct Run
    {
        std::string attempt;
        double startedAt = 0;
        std::string tenant;
        std::string method;
        std::string path;
    };

    Worker(Store &store, WorkerOptions options);

    ~Worker() { exit(); }

    const std::string &id() const { return m_options.id; }

    /// Registers as ready, or reports that it leaves. Returns when the store has accepted it.
    void reportReady();
    void reportDraining();
    void unregister();
    /// The process ends.
    void exit();
    std::vector<Run> runs();

private:
    void handle(Connection &connection, const Message &request);
    std::string entry(const std::string &state) const;

    Store &m_store;
    WorkerOptions m_options;
    std::uint64_t m_born;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_gone{false};
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::unique_ptr<Server> m_server;
};

/// Loopback addresses of this run, drawn so that two runs side by side do not share one.
struct Addresses
{
    Addresses();
    std::string ip(int number) const;

private:
    std::string m_prefix;
};

struct HostOptions
{
    int number = 0;
    std::string ip;
    std::string zone;
    std::string store;
    std::uint16_t callerPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t relayPort = 0;
    /// The limit of file descriptors of the process; also `Limits.MaxFds` of its settings.
    unsigned descriptors = 4200;
    std::string workFolder;
};

/// An entry host: one process of the project, started with the command of the deploy file and its settings template.
class Host
{
public:
    explicit Host(HostOptions options)
        : m_options(std::move(options))
    {
    }

    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    ~Host() { kill(); }

    void start();
    /// SIGKILL, and waits for the end.
    void kill();
    void signal(int number) const;
    bool running();

    int pid() const { return m_pid; }

    std::string callers() const;
    std::string readiness() const;
    /// Whether the host answers 200 to the platform's question within the time.
    bool ready(double timeout) const;
    bool awaitReady(double timeout) const;
    int openDescriptors() const;

private:
    HostOptions m_options;
    int m_pid = 0;
    int m_starts = 0;
};

struct Manifest
{
    std::uint64_t version = 1;
    Json routes = Json::array();
    Json services = Json::array();
    Json tenants = Json::array();
    std::string encode() const;
};

Json route(const std::string &name,
           const std::string &prefix,
           const std::string &type,
           const std::string &service,
           int timeoutMs,
           int attempts);
Json service(const std::string &name, int connections);
Json tenant(const std::string &name, const std::vector<std::string> &keys);

struct Outcome
{
    /// 0: no answer.
    int status = 0;
    double sentAt = 0;
    double endedAt = 0;
    std::string attempt;
    std::string body;
    bool connected = false;
    std::string seal;
};

struct Call
{
    std::string method = "POST";
    std::string path;
    std::string key;
    int deadlineMs = 1500;
    std::string body = "tow=1";
    /// Time after the request was sent until which the consumer waits, in seconds.
    double patience = 2.5;
};

std::string newAttempt();
std::string encodeCall(const Call &call, const std::string &attempt);
/// Sends the call on a new connection.
Outcome call(const std::string &address, const Call &call);

/// Ends the program with the verdict: 1 broken, 0 held, 2 could not run. Every process that was started has to be gone
/// before.
[[noreturn]] void verdict(bool broken, const std::string &why);

} // namespace review
