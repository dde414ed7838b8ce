#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {

static const auto programStart = std::chrono::steady_clock::now();

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - programStart).count();
}

void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

void sleepUntil(double time)
{
    sleepFor(time - now());
}

static std::mutex recordMutex;
static std::ofstream recordFile;

void openRecord(const std::string &path)
{
    std::signal(SIGPIPE, SIG_IGN);
    recordFile.open(path, std::ios::trunc);
    if (!recordFile) {
        throw std::runtime_error("the record cannot be written");
    }
}

void record(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", now());
    const std::lock_guard lock(recordMutex);
    recordFile << time << line << std::endl;
}

bool trouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

static bool sameName(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
               return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
           });
}

std::string Message::header(const std::string &name) const
{
    for (const auto &[known, value] : headers) {
        if (sameName(known, name)) {
            return value;
        }
    }
    return {};
}

std::string Message::path() const
{
    return target.substr(0, target.find('?'));
}

static std::string percentDecoded(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::string Message::query(const std::string &name) const
{
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
        return {};
    }
    std::istringstream fields(target.substr(mark + 1));
    for (std::string field; std::getline(fields, field, '&');) {
        if (const auto equals = field.find('='); field.substr(0, equals) == name && equals != std::string::npos) {
            return percentDecoded(field.substr(equals + 1));
        }
    }
    return {};
}

static sockaddr_in socketAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1 || ip.rfind("127.", 0) != 0) {
        throw std::runtime_error("not a loopback address: " + ip);
    }
    return address;
}

std::unique_ptr<Connection> Connection::open(const std::string &address, double timeout)
{
    const auto colon = address.rfind(':');
    const sockaddr_in peer = socketAddress(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (socket < 0) {
        return nullptr;
    }
    auto connection = std::make_unique<Connection>(socket);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0) {
        if (errno != EINPROGRESS) {
            return nullptr;
        }
        pollfd waiting{.fd = socket, .events = POLLOUT, .revents = 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (poll(&waiting, 1, static_cast<int>(timeout * 1000)) != 1
            || getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            return nullptr;
        }
    }
    const int one = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return connection;
}

bool Connection::fill(double deadline)
{
    for (;;) {
        pollfd waiting{.fd = m_socket, .events = POLLIN, .revents = 0};
        const double left = deadline - now();
        if (left <= 0 || m_socket < 0) {
            return false;
        }
        const int ready = poll(&waiting, 1, static_cast<int>(std::min(left, 3600.0) * 1000) + 1);
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (ready <= 0) {
            return false;
        }
        char bytes[16384];
        const ssize_t received = recv(m_socket, bytes, sizeof bytes, MSG_DONTWAIT);
        if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
            continue;
        }
        if (received <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(received));
        return true;
    }
}

bool Connection::readMessage(Message &message, double deadline)
{
    message = Message();
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline)) {
            return false;
        }
    }
    std::istringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    if (line.rfind("HTTP/", 0) == 0) {
        message.status = std::atoi(line.substr(9).c_str());
    } else {
        std::istringstream first(line);
        first >> message.method >> message.target;
    }
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.emplace_back(line.substr(0, colon), value);
    }
    if (sameName(message.header("Transfer-Encoding"), "chunked")) {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            const std::size_t size = std::stoul(m_buffer.substr(0, lineEnd), nullptr, 16);
            while (m_buffer.size() < lineEnd + 2 + size + 2) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            message.body += m_buffer.substr(lineEnd + 2, size);
            m_buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    const std::string length = message.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (m_buffer.size() < size) {
        if (!fill(deadline)) {
            return false;
        }
    }
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
}

bool Connection::write(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            pollfd waiting{.fd = m_socket, .events = POLLOUT, .revents = 0};
            if (poll(&waiting, 1, 5000) <= 0) {
                return false;
            }
            continue;
        }
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::peerClosed() const
{
    char byte = 0;
    const ssize_t received = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR);
}

void Connection::reset()
{
    const linger option{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    close();
}

void Connection::close()
{
    if (m_socket >= 0) {
        ::close(std::exchange(m_socket, -1));
    }
}

void Connection::interrupt()
{
    if (m_socket >= 0) {
        shutdown(m_socket, SHUT_RDWR);
    }
}

struct Server::State
{
    int listener = -1;
    Handler handler;
    std::mutex mutex;
    bool stopped = false;
    std::set<Connection *> connections;
};

Server::Server(const std::string &ip, Handler handler, std::uint16_t port)
    : m_state(std::make_shared<State>())
{
    m_state->handler = std::move(handler);
    m_state->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(m_state->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = socketAddress(ip, port);
    socklen_t size = sizeof address;
    if (bind(m_state->listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(m_state->listener, 1024) != 0
        || getsockname(m_state->listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("cannot listen on " + ip);
    }
    m_address = ip + ":" + std::to_string(ntohs(address.sin_port));
    std::thread([state = m_state] {
        for (;;) {
            const int socket = accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                if (errno == EINTR || errno == ECONNABORTED) {
                    continue;
                }
                const std::lock_guard lock(state->mutex);
                if (state->stopped) {
                    close(state->listener);
                    return;
                }
                continue;
            }
            const int noDelay = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            std::thread([state, socket] {
                Connection connection(socket);
                {
                    const std::lock_guard lock(state->mutex);
                    if (state->stopped) {
                        return;
                    }
                    state->connections.insert(&connection);
                }
                Message request;
                while (connection.readMessage(request, now() + 3600)) {
                    state->handler(connection, request);
                }
                const std::lock_guard lock(state->mutex);
                state->connections.erase(&connection);
                connection.close();
            }).detach();
        }
    }).detach();
}

void Server::stop()
{
    const std::lock_guard lock(m_state->mutex);
    if (std::exchange(m_state->stopped, true)) {
        return;
    }
    shutdown(m_state->listener, SHUT_RDWR);
    for (Connection *connection : m_state->connections) {
        connection->interrupt();
    }
}

std::string encode(const Message &response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n";
    for (const auto &[name, value] : response.headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

std::uint16_t freePort(const std::string &ip)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress(ip, 0);
    socklen_t size = sizeof address;
    if (bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("no free port");
    }
    close(socket);
    return ntohs(address.sin_port);
}

static const std::string base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? base64Digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

static std::string decodeBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char digit : text) {
        const auto value = base64Digits.find(digit);
        if (value == std::string::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

static constexpr std::size_t pageItems = 50;

std::string Store::listen(const std::string &ip, int host)
{
    m_servers.push_back(std::make_unique<Server>(
        ip, [this, host](Connection &connection, const Message &request) { handle(host, connection, request); }));
    return m_servers.back()->address();
}

void Store::setCut(int host, bool cut)
{
    const std::lock_guard lock(m_mutex);
    if (cut) {
        m_cut.insert(host);
    } else {
        m_cut.erase(host);
    }
    m_changed.notify_all();
}

void Store::setAway(bool away)
{
    const std::lock_guard lock(m_mutex);
    m_away = away;
    m_changed.notify_all();
}

void Store::write(const std::string &key, const std::string &value, std::uint64_t lease)
{
    ++m_revision;
    Item &item = m_items[key];
    item.value = value;
    item.revision = m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.lease = lease;
    m_events.push_back({.key = key, .revision = m_revision, .deleted = false, .item = item});
    m_changed.notify_all();
}

void Store::erase(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        ++m_revision;
        m_events.push_back({.key = key, .revision = m_revision, .deleted = true, .item = {}});
        m_changed.notify_all();
    }
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    write(key, value, 0);
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    erase(key);
}

std::shared_ptr<Store::Copy> Store::copy()
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    return std::make_shared<Copy>(
        Copy{.items = m_items, .leases = m_leases, .events = m_events, .revision = m_revision});
}

void Store::restore(const Copy &copy)
{
    const std::lock_guard lock(m_mutex);
    m_items = copy.items;
    m_events = copy.events;
    m_revision = copy.revision;
    m_leases = copy.leases;
    // A lease that the copy has runs on from the return of the store.
    for (auto &[id, lease] : m_leases) {
        lease.until = now() + lease.ttl;
    }
    ++m_era;
    m_changed.notify_all();
}

void Store::expireLeases()
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (now() < lease->second.until) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == lease->first) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            erase(key);
        }
        lease = m_leases.erase(lease);
    }
}

Json Store::itemJson(const std::string &key, const Item &item) const
{
    return {{"Key", key},
            {"Value", encodeBase64(item.value)},
            {"Revision", item.revision},
            {"Created", item.created},
            {"LeaseId", item.lease}};
}

void Store::handle(int host, Connection &connection, const Message &request)
{
    std::unique_lock lock(m_mutex);
    while (!reachable(host)) {
        m_changed.wait_for(lock, std::chrono::milliseconds(20));
        if (connection.peerClosed()) {
            connection.interrupt();
            return;
        }
    }
    expireLeases();
    const std::uint64_t era = m_era;
    Message response = answer(request, lock, host, connection);
    while (!reachable(host)) {
        m_changed.wait_for(lock, std::chrono::milliseconds(20));
        if (connection.peerClosed()) {
            connection.interrupt();
            return;
        }
    }
    if (m_era != era) {
        // The process that was to answer is gone.
        connection.interrupt();
        return;
    }
    response.headers.emplace_back("Content-Type", "application/json");
    response.headers.emplace_back("Store-Era", std::to_string(m_era));
    lock.unlock();
    sleepFor(0.002);
    if (!connection.write(encode(response))) {
        connection.interrupt();
    }
}

Message Store::answer(const Message &request, std::unique_lock<std::mutex> &lock, int host, Connection &connection)
{
    const std::string path = request.path();
    const auto reply = [](int status, const Json &body) {
        Message message;
        message.status = status;
        message.body = body.dump();
        return message;
    };
    if (path == "/v1/kv-key") {
        const auto found = m_items.find(request.query("Key"));
        if (found == m_items.end()) {
            return reply(404, Json::object());
        }
        Json json = itemJson(found->first, found->second);
        json["At"] = m_revision;
        return reply(200, json);
    }
    if (path == "/v1/kv-range") {
        const std::string prefix = request.query("Prefix");
        Json entries = Json::array();
        bool truncated = false;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) != 0 || key <= request.query("After")) {
                continue;
            }
            if (entries.size() == pageItems) {
                truncated = true;
                break;
            }
            entries.push_back(itemJson(key, item));
        }
        return reply(200, {{"Entries", entries}, {"Truncated", truncated}, {"At", m_revision}});
    }
    if (path == "/v1/kv-watch") {
        const std::string prefix = request.query("Prefix");
        const std::uint64_t after = std::stoull(request.query("After"));
        const double until = now() + std::stod(request.query("WaitMs")) / 1000;
        const std::uint64_t era = m_era;
        if (after > m_revision) {
            return reply(410, Json::object());
        }
        for (;;) {
            expireLeases();
            Json events = Json::array();
            for (const Event &event : m_events) {
                if (event.revision <= after || event.key.rfind(prefix, 0) != 0) {
                    continue;
                }
                events.push_back(event.deleted
                                     ? Json{{"Key", event.key}, {"Revision", event.revision}, {"Deleted", true}}
                                     : itemJson(event.key, event.item));
            }
            if (!events.empty() || now() >= until || m_era != era || !reachable(host)) {
                return reply(200, {{"events", events}, {"At", m_revision}});
            }
            if (connection.peerClosed()) {
                return reply(200, {{"events", events}, {"At", m_revision}});
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(20));
        }
    }
    if (path == "/v1/kv-txn") {
        const Json body = Json::parse(request.body);
        Json differing = Json::array();
        bool holds = true;
        for (const Json &row : body.value("Precondition", Json::array())) {
            const auto found = m_items.find(row.at("Key"));
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == row.at("Revision").get<std::uint64_t>();
            differing.push_back(found == m_items.end() ? Json{{"Key", row.at("Key")}, {"Revision", 0}}
                                                       : itemJson(found->first, found->second));
        }
        for (const Json &item : body.value("Write", Json::array())) {
            if (const auto lease = item.value("LeaseId", std::uint64_t(0)); lease != 0 && !m_leases.contains(lease)) {
                return reply(404, Json::object());
            }
        }
        if (!holds) {
            return reply(412, {{"Entries", differing}});
        }
        for (const Json &item : body.value("Write", Json::array())) {
            write(item.at("Key"), decodeBase64(item.at("Value")), item.value("LeaseId", std::uint64_t(0)));
        }
        for (const Json &key : body.value("Remove", Json::array())) {
            erase(key);
        }
        return reply(200, {{"Revision", m_revision}});
    }
    if (path == "/v1/kv-lease") {
        const double ttl = Json::parse(request.body).at("TtlMs").get<double>() / 1000;
        m_leases[++m_lastLease] = {.ttl = ttl, .until = now() + ttl};
        return reply(200, {{"LeaseId", m_lastLease}, {"TtlMs", static_cast<std::uint64_t>(ttl * 1000)}});
    }
    const auto leaseOf = [&](const std::string &prefix) { return std::stoull(path.substr(prefix.size())); };
    if (path.rfind("/v1/kv-keep/", 0) == 0) {
        const auto found = m_leases.find(leaseOf("/v1/kv-keep/"));
        if (found == m_leases.end()) {
            return reply(404, Json::object());
        }
        found->second.until = now() + found->second.ttl;
        return reply(200, {{"TtlMs", static_cast<std::uint64_t>(found->second.ttl * 1000)}});
    }
    if (path.rfind("/v1/kv-lease-end/", 0) == 0) {
        const auto found = m_leases.find(leaseOf("/v1/kv-lease-end/"));
        if (found == m_leases.end()) {
            return reply(404, Json::object());
        }
        found->second.until = 0;
        expireLeases();
        return reply(200, Json::object());
    }
    return reply(400, Json::object());
}

Worker::Worker(Store &store, WorkerOptions options)
    : m_store(store)
    , m_options(std::move(options))
    , m_born(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count()))
    , m_server(std::make_unique<Server>(
          m_options.ip, [this](Connection &connection, const Message &request) { handle(connection, request); }))
{
}

std::string Worker::entry(const std::string &state) const
{
    return Json{{"Service", m_options.service},
                {"Address", m_server->address()},
                {"Zone", m_options.zone},
                {"Version", "v1"},
                {"Capacity", m_options.capacity},
                {"State", state},
                {"ColdRemainingMs", 0},
                {"born", m_born},
                {"Sequence", 1}}
        .dump();
}

void Worker::reportReady()
{
    m_store.put("servers/" + m_options.id, entry("ready"));
    record("worker " + m_options.id + " is ready at " + m_server->address());
}

void Worker::reportDraining()
{
    m_leaving = true;
    m_store.put("servers/" + m_options.id, entry("draining"));
    record("worker " + m_options.id + " draining, accepted by the store");
}

void Worker::unregister()
{
    m_leaving = true;
    m_store.remove("servers/" + m_options.id);
}

void Worker::exit()
{
    if (!m_gone.exchange(true)) {
        m_server->stop();
        record("worker " + m_options.id + " exits");
    }
}

std::vector<Worker::Run> Worker::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void Worker::handle(Connection &connection, const Message &request)
{
    Message response;
    response.headers = {{"X-Attempt-Id", request.header("X-Attempt-Id")}};
    if (m_leaving) {
        response.headers.emplace_back("Server-Leaving", "1");
    }
    const std::string expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != m_options.id) {
        response.status = 421;
        response.headers.emplace_back("X-Instance-Id", m_options.id);
    } else if (request.header("X-Attempt-Id").empty()) {
        response.status = request.path() == "/healthz" ? (m_leaving ? 503 : 200) : 400;
        response.headers.emplace_back("X-Instance-Id", m_options.id);
    } else {
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back({.attempt = request.header("X-Attempt-Id"),
                              .startedAt = now(),
                              .tenant = request.header("X-Tenant"),
                              .method = request.method,
                              .path = request.path()});
        }
        sleepFor(m_options.work);
        if (m_gone) {
            return;
        }
        response.status = 200;
        response.headers.emplace_back("X-Server-Seal", "seal." + m_options.id);
        response.body = "done";
    }
    if (!connection.write(encode(response))) {
        connection.interrupt();
    }
}

Addresses::Addresses()
{
    std::random_device random;
    m_prefix = "127." + std::to_string(10 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
}

std::string Addresses::ip(int number) const
{
    return m_prefix + std::to_string(number);
}

static std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string Host::callers() const
{
    return m_options.ip + ":" + std::to_string(m_options.callerPort);
}

std::string Host::readiness() const
{
    return m_options.ip + ":" + std::to_string(m_options.readyPort);
}

/// Fills in deploy/settings.json.template with the values of a small deployment.
static std::string settings(const HostOptions &options)
{
    const auto at = [&](std::uint16_t port) { return Json(options.ip + ":" + std::to_string(port)).dump(); };
    const std::map<std::string, std::string> values = {{"Ip", Json(options.ip).dump()},
                                                       {"Zone", Json(options.zone).dump()},
                                                       {"Region", "\"seq\""},
                                                       {"Listen.Frontend", at(options.callerPort)},
                                                       {"Listen.Ready", at(options.readyPort)},
                                                       {"Platform.Address", Json(options.store).dump()},
                                                       {"Limits.MaxFds", std::to_string(options.descriptors)},
                                                       {"PortRange.0", std::to_string(options.peerPort)},
                                                       {"PortRange.1", std::to_string(options.relayPort)},
                                                       {"SeedNodes", "[]"},
                                                       {"Bounds.RetryRatio", "0.2"},
                                                       {"Bounds.RetryBurst", "196"},
                                                       {"Bounds.RetryWindowS", "10"},
                                                       {"Bounds.RevokeMs", "5000"},
                                                       {"Bounds.GraceS", "8"}};
    std::string text = readFile("deploy/settings.json.template");
    for (const auto &[name, value] : values) {
        const std::string place = "{{" + name + "|json}}";
        for (auto found = text.find(place); found != std::string::npos; found = text.find(place)) {
            text.replace(found, place.size(), value);
        }
    }
    if (text.empty() || text.find("{{") != std::string::npos) {
        throw std::runtime_error("the settings template has fields that this script does not know");
    }
    return text;
}

void Host::start()
{
    const std::string name = m_options.workFolder + "/host-" + std::to_string(m_options.number);
    std::ofstream(name + ".json") << settings(m_options);
    const std::string log = name + "-" + std::to_string(++m_starts) + ".log";
    const std::string variable = "CARAWAYMILL_CONFIG=" + name + ".json";
    const char *const path = std::getenv("PATH");
    const std::string pathVariable = std::string("PATH=") + (path != nullptr ? path : "/usr/bin:/bin");
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid == 0) {
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        const rlimit limit{.rlim_cur = m_options.descriptors, .rlim_max = m_options.descriptors};
        setrlimit(RLIMIT_NOFILE, &limit);
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(3);
        }
        char program[] = "target/build/carawaymilld";
        char *arguments[] = {program, nullptr};
        char *environment[] = {const_cast<char *>(variable.c_str()), const_cast<char *>(pathVariable.c_str()), nullptr};
        execve(program, arguments, environment);
        _exit(3);
    }
    close(output);
    record("host " + std::to_string(m_options.number) + " started, callers at " + callers());
}

bool Host::running()
{
    if (m_pid <= 0) {
        return false;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
        record("host " + std::to_string(m_options.number) + " ended by itself, status " + std::to_string(status));
        m_pid = 0;
        return false;
    }
    return true;
}

void Host::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Host::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
        record("host " + std::to_string(m_options.number) + " killed");
    }
}

bool Host::ready(double timeout) const
{
    const double deadline = now() + timeout;
    const auto connection = Connection::open(readiness(), timeout);
    Message response;
    return connection && connection->write("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
           && connection->readMessage(response, deadline) && response.status == 200;
}

bool Host::awaitReady(double timeout) const
{
    for (const double deadline = now() + timeout; now() < deadline; sleepFor(0.01)) {
        if (ready(0.5)) {
            return true;
        }
    }
    return false;
}

int Host::openDescriptors() const
{
    int count = 0;
    if (DIR *folder = opendir(("/proc/" + std::to_string(m_pid) + "/fd").c_str())) {
        while (const dirent *entry = readdir(folder)) {
            count += entry->d_name[0] != '.' ? 1 : 0;
        }
        closedir(folder);
    }
    return count;
}

std::string Manifest::encode() const
{
    return Json{
        {"Version", version},
        {"Routes", routes},
        {"Services", services},
        {"Limits",
         {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
        {"Tenants", tenants}}
        .dump();
}

Json route(const std::string &name,
           const std::string &prefix,
           const std::string &type,
           const std::string &service,
           int timeoutMs,
           int attempts)
{
    return {{"Name", name},
            {"Hostname", "logs.example"},
            {"Prefix", prefix},
            {"RouteType", type},
            {"TimeoutMs", timeoutMs},
            {"TargetLatencyMs", 150},
            {"Priority", 1},
            {"Service", service},
            {"MaxAttempts", attempts},
            {"Public", false}};
}

Json service(const std::string &name, int connections)
{
    return {{"Name", name}, {"HealthPath", "/healthz"}, {"MaxConns", connections}, {"Protocol", "h1"}, {"Tls", false}};
}

Json tenant(const std::string &name, const std::vector<std::string> &keys)
{
    return {{"Name", name}, {"ApiKeys", keys}, {"Priority", 1}};
}

std::string newAttempt()
{
    static std::atomic<std::uint64_t> last{0};
    static const std::uint64_t seed = std::random_device()();
    char text[40];
    std::snprintf(text,
                  sizeof text,
                  "%08llx%08llx",
                  static_cast<unsigned long long>(seed & 0xffffffffU),
                  static_cast<unsigned long long>(++last));
    return text;
}

std::string encodeCall(const Call &call, const std::string &attempt)
{
    std::string text = call.method + " " + call.path + " HTTP/1.1\r\nHost: logs.example\r\nX-Attempt-Id: " + attempt
                       + "\r\nX-Deadline-Ms: " + std::to_string(call.deadlineMs) + "\r\nAuthorization: Bearer "
                       + call.key + "\r\n";
    if (call.method != "GET") {
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
    } else {
        text += "\r\n";
    }
    return text;
}

Outcome call(const std::string &address, const Call &call)
{
    Outcome outcome;
    outcome.attempt = newAttempt();
    outcome.sentAt = now();
    const double deadline = outcome.sentAt + call.patience;
    if (const auto connection = Connection::open(address, 1.0)) {
        outcome.connected = true;
        outcome.sentAt = now();
        Message response;
        if (connection->write(encodeCall(call, outcome.attempt)) && connection->readMessage(response, deadline)) {
            outcome.status = response.status;
            outcome.body = response.body;
            outcome.seal = response.header("X-Server-Seal");
        }
    }
    outcome.endedAt = now();
    return outcome;
}

void verdict(bool broken, const std::string &why)
{
    record(std::string(broken ? "BROKEN: " : "HELD: ") + why);
    std::cout << (broken ? "broken: " : "held: ") << why << std::endl;
    // The threads of the stand-ins still use objects that a return would destroy.
    std::_Exit(broken ? 1 : 0);
}

} // namespace review
