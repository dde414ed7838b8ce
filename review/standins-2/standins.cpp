#include "standins.h"

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <stdexcept>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

static const auto programStart = std::chrono::steady_clock::now();

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - programStart).count();
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

void sleepUntilMs(std::int64_t time)
{
    std::this_thread::sleep_until(programStart + std::chrono::milliseconds(time));
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Record::Record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{
    if (m_file == nullptr) {
        throw std::runtime_error("cannot write " + path);
    }
}

Record::~Record()
{
    std::fclose(m_file);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%7.3f %s\n", static_cast<double>(nowMs()) / 1000, text.c_str());
    std::fflush(m_file);
}

static bool sameName(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && strncasecmp(left.c_str(), right.c_str(), left.size()) == 0;
}

static std::string headerOf(const std::vector<std::pair<std::string, std::string>> &headers, const std::string &name)
{
    for (const auto &[known, value] : headers) {
        if (sameName(known, name)) {
            return value;
        }
    }
    return {};
}

std::string Request::header(const std::string &name) const
{
    return headerOf(headers, name);
}

std::string Response::header(const std::string &name) const
{
    return headerOf(headers, name);
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

std::string Request::query(const std::string &name) const
{
    std::size_t position = target.find('?');
    while (position != std::string::npos) {
        const std::size_t end = std::min(target.find('&', position + 1), target.size());
        const std::string pair = target.substr(position + 1, end - position - 1);
        if (pair.starts_with(name + "=")) {
            return percentDecoded(pair.substr(name.size() + 1));
        }
        position = end < target.size() ? end : std::string::npos;
    }
    return {};
}

static bool writeAll(int descriptor, const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads from a socket until `deadline` (by nowMs; 0: without end).
class Reader
{
public:
    Reader(int descriptor, std::int64_t deadline)
        : m_descriptor(descriptor)
        , m_deadline(deadline)
    {
    }

    void setDeadline(std::int64_t deadline) { m_deadline = deadline; }

    bool more()
    {
        pollfd entry{.fd = m_descriptor, .events = POLLIN, .revents = 0};
        const std::int64_t wait = m_deadline == 0 ? -1 : std::max<std::int64_t>(0, m_deadline - nowMs());
        if (::poll(&entry, 1, static_cast<int>(wait)) <= 0) {
            return false;
        }
        char bytes[65536];
        const ssize_t count = ::recv(m_descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            m_ended = true;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /// The bytes up to and without `end`.
    std::optional<std::string> until(const std::string &end)
    {
        std::size_t found = m_buffer.find(end);
        while (found == std::string::npos) {
            if (!more()) {
                return std::nullopt;
            }
            found = m_buffer.find(end);
        }
        std::string read = m_buffer.substr(0, found);
        m_buffer.erase(0, found + end.size());
        return read;
    }

    std::optional<std::string> exactly(std::size_t size)
    {
        while (m_buffer.size() < size) {
            if (!more()) {
                return std::nullopt;
            }
        }
        std::string read = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return read;
    }

    std::string untilEnd()
    {
        while (more()) {
        }
        return std::exchange(m_buffer, {});
    }

    [[nodiscard]] bool ended() const { return m_ended; }

private:
    int m_descriptor;
    std::int64_t m_deadline;
    std::string m_buffer;
    bool m_ended = false;
};

static std::vector<std::pair<std::string, std::string>> parseHeaders(const std::string &head, std::string &firstLine)
{
    std::vector<std::pair<std::string, std::string>> headers;
    std::size_t position = std::min(head.find("\r\n"), head.size());
    firstLine = head.substr(0, position);
    while (position < head.size()) {
        position += 2;
        const std::size_t end = std::min(head.find("\r\n", position), head.size());
        const std::string line = head.substr(position, end - position);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::size_t begin = colon + 1;
            while (begin < line.size() && line[begin] == ' ') {
                ++begin;
            }
            headers.emplace_back(line.substr(0, colon), line.substr(begin));
        }
        position = end;
    }
    return headers;
}

static std::optional<std::string> readChunks(Reader &reader)
{
    std::string body;
    while (true) {
        const auto size = reader.until("\r\n");
        if (!size) {
            return std::nullopt;
        }
        const std::size_t bytes = std::stoul(*size, nullptr, 16);
        if (bytes == 0) {
            return reader.until("\r\n") ? std::optional(body) : std::nullopt;
        }
        const auto chunk = reader.exactly(bytes + 2);
        if (!chunk) {
            return std::nullopt;
        }
        body += chunk->substr(0, bytes);
    }
}

static std::optional<Request> readRequest(Reader &reader)
{
    const auto head = reader.until("\r\n\r\n");
    if (!head) {
        return std::nullopt;
    }
    Request request;
    std::string first;
    request.headers = parseHeaders(*head, first);
    const std::size_t space = first.find(' ');
    const std::size_t second = first.find(' ', space + 1);
    if (space == std::string::npos || second == std::string::npos) {
        return std::nullopt;
    }
    request.method = first.substr(0, space);
    request.target = first.substr(space + 1, second - space - 1);
    std::optional<std::string> body = std::string();
    if (sameName(request.header("Transfer-Encoding"), "chunked")) {
        body = readChunks(reader);
    } else if (const std::string length = request.header("Content-Length"); !length.empty()) {
        body = reader.exactly(std::stoul(length));
    }
    if (!body) {
        return std::nullopt;
    }
    request.body = std::move(*body);
    return request;
}

bool Connection::write(const std::string &bytes) const
{
    return writeAll(m_descriptor, bytes);
}

bool Connection::respond(const Response &response) const
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n";
    for (const auto &[name, value] : response.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n\r\n");
    return write(text.append(response.body));
}

bool Connection::isClosed() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

static sockaddr_in socketAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

static int listenOn(const std::string &ip, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = socketAddress(ip, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(descriptor, 512) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

static std::uint16_t portOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

static int connectTo(const std::string &text, std::int64_t timeoutMs)
{
    const std::size_t colon = text.rfind(':');
    const sockaddr_in address =
        socketAddress(text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        pollfd entry{.fd = descriptor, .events = POLLOUT, .revents = 0};
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&entry, 1, static_cast<int>(timeoutMs)) <= 0
            || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(descriptor);
            return -1;
        }
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return descriptor;
}

Server::Server(const std::string &ip, std::uint16_t port, Handler handler)
    : m_handler(std::move(handler))
    , m_listener(listenOn(ip, port))
{
    if (m_listener < 0) {
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    m_address = ip + ":" + std::to_string(portOf(m_listener));
    m_accepting = std::thread([this] { accept(); });
}

Server::~Server()
{
    stop();
}

void Server::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_accepting.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const int descriptor : m_open) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    while (m_threads > 0) {
        sleepMs(5);
    }
}

void Server::accept()
{
    while (!m_stopped) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (m_stopped) {
                return;
            }
            sleepMs(5);
            continue;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        ++m_threads;
        std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
}

void Server::serve(int descriptor)
{
    {
        const std::lock_guard lock(m_mutex);
        m_open.insert(descriptor);
    }
    Reader reader(descriptor, 0);
    try {
        for (bool open = !m_stopped; open;) {
            const auto request = readRequest(reader);
            open = request && !m_stopped && m_handler(*request, Connection(descriptor));
        }
    } catch (const std::exception &exception) {
        std::fprintf(stderr, "stand-in: %s\n", exception.what());
    }
    {
        const std::lock_guard lock(m_mutex);
        m_open.erase(descriptor);
    }
    ::close(descriptor);
    --m_threads;
}

Proxy::Proxy(const std::string &ip, std::string target)
    : m_ip(ip)
    , m_target(std::move(target))
{
    listen(0);
}

Proxy::~Proxy()
{
    setState(LinkState::Cut);
    for (std::thread &thread : m_accepting) {
        thread.join();
    }
    while (m_threads > 0) {
        sleepMs(5);
    }
}

void Proxy::listen(std::uint16_t port)
{
    const int listener = listenOn(m_ip, port);
    if (listener < 0) {
        throw std::runtime_error("the proxy cannot listen");
    }
    m_port = portOf(listener);
    m_address = m_ip + ":" + std::to_string(m_port);
    m_listener = listener;
    m_accepting.emplace_back([this, listener] { accept(listener); });
}

void Proxy::setState(LinkState state)
{
    if (state == LinkState::Open) {
        if (m_listener < 0) {
            listen(m_port);
        }
        return;
    }
    if (const int listener = m_listener.exchange(-1); listener >= 0) {
        ::shutdown(listener, SHUT_RDWR);
    }
    sleepMs(20);
    resetAll();
}

void Proxy::resetAll()
{
    const std::lock_guard lock(m_mutex);
    for (const int descriptor : m_open) {
        const linger hard{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        ::shutdown(descriptor, SHUT_RD);
    }
}

static void carry(int one, int other)
{
    char bytes[65536];
    pollfd entries[2] = {{.fd = one, .events = POLLIN, .revents = 0}, {.fd = other, .events = POLLIN, .revents = 0}};
    while (::poll(entries, 2, -1) > 0) {
        for (int side = 0; side < 2; ++side) {
            if (entries[side].revents == 0) {
                continue;
            }
            const ssize_t count = ::recv(entries[side].fd, bytes, sizeof(bytes), 0);
            if (count <= 0 || !writeAll(entries[1 - side].fd, std::string(bytes, static_cast<std::size_t>(count)))) {
                return;
            }
        }
    }
}

void Proxy::accept(int listener)
{
    while (true) {
        const int host = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (host < 0) {
            ::close(listener);
            return;
        }
        const int target = connectTo(m_target, 1000);
        if (target < 0) {
            ::close(host);
            continue;
        }
        ++m_threads;
        std::thread([this, host, target] {
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(host);
                m_open.insert(target);
            }
            carry(host, target);
            {
                const std::lock_guard lock(m_mutex);
                m_open.erase(host);
                m_open.erase(target);
            }
            ::close(host);
            ::close(target);
            --m_threads;
        }).detach();
    }
}

static const char base64Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t block = static_cast<unsigned char>(bytes[i]) << 16U;
        block |= i + 1 < bytes.size() ? static_cast<unsigned char>(bytes[i + 1]) << 8U : 0;
        block |= i + 2 < bytes.size() ? static_cast<unsigned char>(bytes[i + 2]) : 0;
        text += base64Digits[block >> 18U & 63U];
        text += base64Digits[block >> 12U & 63U];
        text += i + 1 < bytes.size() ? base64Digits[block >> 6U & 63U] : '=';
        text += i + 2 < bytes.size() ? base64Digits[block & 63U] : '=';
    }
    return text;
}

static std::string decodeBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t block = 0;
    int bits = 0;
    for (const char character : text) {
        const char *digit = std::strchr(base64Digits, character);
        if (character == '=' || digit == nullptr) {
            break;
        }
        block = block << 6U | static_cast<std::uint32_t>(digit - base64Digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(block >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

Store::Store()
{
    m_ticking = std::thread([this] {
        while (!m_stopped) {
            sleepMs(10);
            const std::lock_guard lock(m_mutex);
            expireLeases();
        }
    });
}

Store::~Store()
{
    m_stopped = true;
    m_changed.notify_all();
    m_ticking.join();
    for (const auto &server : m_servers) {
        server->stop();
    }
}

std::string Store::listen(std::function<std::string(const std::string &, const std::string &)> rewrite)
{
    m_servers.push_back(
        std::make_unique<Server>("127.0.0.1", 0, [this, rewrite](const Request &request, const Connection &connection) {
            return handle(request, connection, rewrite);
        }));
    return m_servers.back()->address();
}

void Store::change(const std::string &key, std::optional<Item> item)
{
    ++m_state.revision;
    if (item) {
        const auto known = m_state.items.find(key);
        item->revision = m_state.revision;
        item->created = known == m_state.items.end() ? m_state.revision : known->second.created;
        m_state.items[key] = *item;
    } else {
        m_state.items.erase(key);
    }
    m_state.history.push_back({.revision = m_state.revision, .key = key, .item = std::move(item)});
    m_changed.notify_all();
}

std::int64_t Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    change(key, Item{.value = value});
    return nowMs();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    if (m_state.items.contains(key)) {
        change(key, std::nullopt);
    }
}

void Store::setAway(bool away)
{
    const std::lock_guard lock(m_mutex);
    m_away = away;
    m_changed.notify_all();
}

void Store::keepCopy()
{
    const std::lock_guard lock(m_mutex);
    m_copy = m_state;
}

void Store::returnFromCopy()
{
    const std::lock_guard lock(m_mutex);
    m_state = m_copy;
    m_firstRevision = m_state.revision;
    m_state.history.clear();
    m_leases.clear();
    std::vector<std::string> leased;
    for (const auto &[key, item] : m_state.items) {
        if (item.lease != 0) {
            leased.push_back(key);
        }
    }
    for (const std::string &key : leased) {
        change(key, std::nullopt);
    }
    ++m_era;
    m_away = false;
    m_changed.notify_all();
}

std::optional<std::string> Store::value(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_state.items.find(key);
    return found == m_state.items.end() ? std::nullopt : std::optional(found->second.value);
}

void Store::expireLeases()
{
    std::vector<std::uint64_t> ended;
    for (const auto &[id, lease] : m_leases) {
        if (nowMs() >= lease.until) {
            ended.push_back(id);
        }
    }
    for (const std::uint64_t id : ended) {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_state.items) {
            if (item.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            change(key, std::nullopt);
        }
    }
}

bool Store::handle(const Request &request,
                   const Connection &connection,
                   const std::function<std::string(const std::string &, const std::string &)> &rewrite)
{
    std::uint64_t era = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_away) {
            return false;
        }
        era = m_era;
    }
    Response response = request.path() == "/v1/kv-watch" ? watch(request, rewrite) : answer(request, rewrite);
    {
        const std::lock_guard lock(m_mutex);
        if (m_away || era != m_era || response.status == 0) {
            return false;
        }
    }
    response.headers.emplace_back("Content-Type", "application/json");
    response.headers.emplace_back("Store-Era", std::to_string(era));
    return connection.respond(response);
}

static Json itemJson(const std::string &key,
                     const Item &item,
                     const std::function<std::string(const std::string &, const std::string &)> &rewrite)
{
    return {{"Key", key},
            {"Value", encodeBase64(rewrite ? rewrite(key, item.value) : item.value)},
            {"Revision", item.revision},
            {"Created", item.created},
            {"LeaseId", item.lease}};
}

Response Store::watch(const Request &request,
                      const std::function<std::string(const std::string &, const std::string &)> &rewrite)
{
    const std::string prefix = request.query("Prefix");
    const std::uint64_t after = std::stoull(request.query("After"));
    const std::int64_t end = nowMs() + std::stoll(request.query("WaitMs"));
    std::unique_lock lock(m_mutex);
    const std::uint64_t era = m_era;
    if (after < m_firstRevision || after > m_state.revision) {
        return {.status = 410, .headers = {}, .body = "{}"};
    }
    while (true) {
        if (m_stopped || m_away || m_era != era) {
            return {.status = 0, .headers = {}, .body = {}};
        }
        Json events = Json::array();
        for (const Event &event : m_state.history) {
            if (event.revision > after && event.key.starts_with(prefix)) {
                events.push_back(event.item ? itemJson(event.key, *event.item, rewrite)
                                            : Json{{"Key", event.key}, {"Revision", event.revision}, {"Deleted", true}});
            }
        }
        if (!events.empty() || nowMs() >= end) {
            return {.status = 200, .headers = {}, .body = Json{{"events", events}, {"At", m_state.revision}}.dump()};
        }
        m_changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, end - nowMs())));
    }
}

Response Store::answer(const Request &request,
                       const std::function<std::string(const std::string &, const std::string &)> &rewrite)
{
    const std::lock_guard lock(m_mutex);
    const std::string path = request.path();
    const auto respond = [](int status, const Json &json) {
        return Response{.status = status, .headers = {}, .body = json.dump()};
    };
    if (path == "/v1/kv-key") {
        const std::string key = request.query("Key");
        const auto found = m_state.items.find(key);
        return found == m_state.items.end() ? respond(404, Json::object())
                                            : respond(200, itemJson(key, found->second, rewrite));
    }
    if (path == "/v1/kv-range") {
        Json entries = Json::array();
        const std::string prefix = request.query("Prefix");
        for (const auto &[key, item] : m_state.items) {
            if (key.starts_with(prefix) && key > request.query("After")) {
                entries.push_back(itemJson(key, item, rewrite));
            }
        }
        return respond(200, {{"Entries", entries}, {"Truncated", false}, {"At", m_state.revision}});
    }
    if (path == "/v1/kv-lease") {
        const auto ttl = std::max<std::int64_t>(1000, Json::parse(request.body).at("TtlMs").get<std::int64_t>());
        m_leases[++m_lastLease] = {.ttl = ttl, .until = nowMs() + ttl};
        return respond(200, {{"LeaseId", m_lastLease}, {"TtlMs", ttl}});
    }
    const auto leaseOf = [&](const std::string &begin) { return std::stoull(path.substr(begin.size())); };
    if (path.starts_with("/v1/kv-keep/")) {
        const auto found = m_leases.find(leaseOf("/v1/kv-keep/"));
        if (found == m_leases.end()) {
            return respond(404, Json::object());
        }
        found->second.until = nowMs() + found->second.ttl;
        return respond(200, {{"TtlMs", found->second.ttl}});
    }
    if (path.starts_with("/v1/kv-lease-end/")) {
        const auto found = m_leases.find(leaseOf("/v1/kv-lease-end/"));
        if (found == m_leases.end()) {
            return respond(404, Json::object());
        }
        found->second.until = 0;
        expireLeases();
        return respond(200, Json::object());
    }
    if (path != "/v1/kv-txn") {
        return respond(404, Json::object());
    }
    const Json body = Json::parse(request.body);
    bool holds = true;
    Json states = Json::array();
    for (const Json &row : body.value("Precondition", Json::array())) {
        const auto key = row.at("Key").get<std::string>();
        const auto found = m_state.items.find(key);
        const std::uint64_t revision = found == m_state.items.end() ? 0 : found->second.revision;
        holds = holds && revision == row.at("Revision").get<std::uint64_t>();
        states.push_back(found == m_state.items.end() ? Json{{"Key", key}, {"Revision", 0}}
                                                      : itemJson(key, found->second, nullptr));
    }
    if (!holds) {
        return respond(412, {{"Entries", states}, {"At", m_state.revision}});
    }
    for (const Json &write : body.value("Write", Json::array())) {
        const auto key = write.at("Key").get<std::string>();
        const auto lease = write.value("LeaseId", std::uint64_t(0));
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            return respond(403, Json::object());
        }
        if (lease != 0 && !m_leases.contains(lease)) {
            return respond(404, Json::object());
        }
    }
    for (const Json &write : body.value("Write", Json::array())) {
        change(write.at("Key").get<std::string>(),
               Item{.value = decodeBase64(write.at("Value").get<std::string>()),
                    .lease = write.value("LeaseId", std::uint64_t(0))});
    }
    for (const Json &key : body.value("Remove", Json::array())) {
        if (m_state.items.contains(key.get<std::string>())) {
            change(key.get<std::string>(), std::nullopt);
        }
    }
    return respond(200, {{"Revision", m_state.revision}});
}

Worker::Worker(Store &store, WorkerOptions options)
    : m_store(store)
    , m_options(std::move(options))
    , m_born(unixMs())
    , m_server(std::make_unique<Server>(
          m_options.ip, 0, [this](const Request &request, const Connection &connection) {
              return handle(request, connection);
          }))
{
    registerSelf();
}

void Worker::registerSelf()
{
    Json record{{"Service", m_options.service},
                {"Address", address()},
                {"Zone", m_options.zone},
                {"Version", "v1"},
                {"Capacity", 64},
                {"State", "ready"},
                {"ColdRemainingMs", 0},
                {"Sequence", 0},
                {"born", m_born}};
    record.update(m_options.fields);
    m_store.put("servers/" + m_options.id, record.dump());
}

std::vector<Run> Worker::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

bool Worker::handle(const Request &request, const Connection &connection)
{
    const std::string expected = request.header("X-Expect-Instance");
    const std::string attempt = request.header("X-Attempt-Id");
    if (!expected.empty() && expected != m_options.id) {
        return connection.respond({.status = 421, .headers = {{"X-Instance-Id", m_options.id}}, .body = {}});
    }
    if (request.path() == "/healthz") {
        return connection.respond({.status = 200, .headers = {{"X-Instance-Id", m_options.id}}, .body = {}});
    }
    if (request.path() == "/v1/report") {
        Json report{{"Busy", false}, {"Sequence", 0}, {"Queued", 0}, {"Active", 0}, {"born", m_born}};
        report.update(m_options.fields);
        return connection.respond(
            {.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = report.dump()});
    }
    if (request.path() == "/v1/order") {
        return connection.respond({.status = 200, .headers = {}, .body = "{}"});
    }
    if (attempt.empty()) {
        return connection.respond({.status = 400, .headers = {{"X-Not-Executed", "1"}}, .body = {}});
    }
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({.attempt = attempt,
                          .at = nowMs(),
                          .tenant = request.header("X-Tenant"),
                          .bodyBytes = request.body.size(),
                          .worker = m_options.id});
    }
    if (answer) {
        return answer(request, connection);
    }
    sleepMs(m_options.workMs);
    return connection.respond({.status = 200,
                               .headers = {{"X-Attempt-Id", attempt}, {"X-Server-Seal", "seal-" + attempt}},
                               .body = "done by " + m_options.id});
}

Channel::Channel(const std::string &address)
    : m_descriptor(connectTo(address, 1000))
{
}

Channel::~Channel()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

Answer Channel::call(const Request &request, std::int64_t timeoutMs)
{
    Answer answer{.connected = isOpen(), .sentAt = nowMs()};
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n\r\n").append(request.body);
    // The answer may come before the whole body is sent.
    (void)writeAll(m_descriptor, text);
    Reader reader(m_descriptor, answer.sentAt + timeoutMs);
    if (const auto head = reader.until("\r\n\r\n")) {
        std::string first;
        answer.response.headers = parseHeaders(*head, first);
        std::optional<std::string> body;
        if (sameName(answer.response.header("Transfer-Encoding"), "chunked")) {
            body = readChunks(reader);
        } else if (const std::string length = answer.response.header("Content-Length"); !length.empty()) {
            body = reader.exactly(std::stoul(length));
        }
        if (body && first.size() >= 12) {
            answer.status = std::stoi(first.substr(9, 3));
            answer.response.status = answer.status;
            answer.response.body = std::move(*body);
        }
    }
    if (answer.status == 0 || sameName(answer.response.header("Connection"), "close")) {
        ::close(std::exchange(m_descriptor, -1));
    }
    answer.endedAt = nowMs();
    return answer;
}

Answer call(const std::string &address, const Request &request, std::int64_t timeoutMs)
{
    Channel channel(address);
    if (!channel.isOpen()) {
        return {.sentAt = nowMs(), .endedAt = nowMs()};
    }
    return channel.call(request, timeoutMs);
}

static std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

/// Fills in the `{{NAME|json}}` placeholders of the settings' template.
static std::string fillIn(std::string text, const std::map<std::string, Json> &fields)
{
    for (std::size_t begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", begin)) {
        const std::size_t end = text.find("}}", begin);
        std::string name = text.substr(begin + 2, end - begin - 2);
        const bool asJson = name.ends_with("|json");
        name = asJson ? name.substr(0, name.size() - 5) : name;
        const auto found = fields.find(name);
        if (found == fields.end()) {
            throw std::runtime_error("the template asks for " + name);
        }
        const Json &value = found->second;
        const std::string filled = !asJson && value.is_string() ? value.get<std::string>() : value.dump();
        text.replace(begin, end + 2 - begin, filled);
        begin += filled.size();
    }
    return text;
}

Host::Host(std::string folder, HostOptions options)
    : m_folder(std::move(folder))
    , m_options(std::move(options))
{
}

Host::~Host()
{
    if (m_process > 0) {
        ::kill(m_process, SIGCONT);
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, &m_status, 0);
    }
}

void Host::start()
{
    const auto address = [&](std::uint16_t port) { return m_options.ip + ":" + std::to_string(port); };
    const std::map<std::string, Json> fields{{"Ip", m_options.ip},
                                             {"Zone", m_options.zone},
                                             {"Region", "seq"},
                                             {"Listen.Frontend", address(m_options.frontend)},
                                             {"Listen.Ready", address(m_options.ready)},
                                             {"Platform.Address", m_options.store},
                                             {"Limits.MaxFds", m_options.maxFds},
                                             {"Limits.MemoryMb", m_options.memoryMb},
                                             {"PortRange.0", m_options.firstPort},
                                             {"PortRange.1", m_options.lastPort},
                                             {"SeedNodes", m_options.seeds},
                                             {"Bounds.RetryRatio", 0.2},
                                             {"Bounds.RetryBurst", 196},
                                             {"Bounds.RetryWindowS", 10},
                                             {"Bounds.RevokeMs", 5000},
                                             {"Bounds.GraceS", 8},
                                             {"Bounds.DrainMs", 2000},
                                             {"Bounds.ConfigApplyMs", 2000}};
    const std::string settings = m_folder + "/" + m_options.ip + ".json";
    std::ofstream(settings) << fillIn(readFile("deploy/settings.json.template"), fields);
    // The command of the only role in deploy/system.toml.
    const std::string deploy = readFile("deploy/system.toml");
    const std::size_t begin = deploy.find("run = \"") + 7;
    std::string command = fillIn(deploy.substr(begin, deploy.find('"', begin) - begin), fields);
    std::vector<std::string> words;
    for (std::size_t position = 0; position < command.size();) {
        const std::size_t end = std::min(command.find(' ', position), command.size());
        words.push_back(command.substr(position, end - position));
        position = end + 1;
    }
    std::vector<char *> arguments;
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::vector<std::string> variables{"CARAWAYMILL_CONFIG=" + settings, "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C"};
    std::vector<char *> environment;
    for (std::string &variable : variables) {
        environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    const std::string log = m_folder + "/" + m_options.ip + ".log";
    const pid_t process = ::fork();
    if (process == 0) {
        // No daemon outlives the program that started it.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(arguments[0], arguments.data(), environment.data());
        ::_exit(127);
    }
    m_process = process;
}

void Host::signal(int number) const
{
    if (m_process > 0) {
        ::kill(m_process, number);
    }
}

bool Host::hasEnded()
{
    if (m_process > 0 && ::waitpid(m_process, &m_status, WNOHANG) == m_process) {
        m_process = -1;
    }
    return m_process <= 0;
}

bool Host::waitEnded(std::int64_t timeoutMs)
{
    const std::int64_t end = nowMs() + timeoutMs;
    while (!hasEnded()) {
        if (nowMs() >= end) {
            return false;
        }
        sleepMs(5);
    }
    return true;
}

bool Host::isReady() const
{
    return call(m_options.ip + ":" + std::to_string(m_options.ready),
                {.method = "GET", .target = "/v1/readyz", .headers = {{"Host", "ready"}}, .body = {}},
                500)
               .status
           == 200;
}

std::size_t Host::memoryKb() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("RssAnon:")) {
            return std::stoul(line.substr(8));
        }
    }
    return 0;
}

std::string Host::frontend() const
{
    return m_options.ip + ":" + std::to_string(m_options.frontend);
}

TemporaryFolder::TemporaryFolder()
{
    std::string form = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(form.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_path = form;
}

TemporaryFolder::~TemporaryFolder()
{
    if (std::getenv("KEEP") != nullptr) {
        std::fprintf(stderr, "kept %s\n", m_path.c_str());
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

static std::mt19937_64 &randomNumbers()
{
    static thread_local std::mt19937_64 numbers{std::random_device{}()};
    return numbers;
}

std::string randomId()
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(randomNumbers()()));
    return text;
}

std::string describeRequest(const std::string &attempt,
                            const std::string &host,
                            std::int64_t sentAt,
                            int status,
                            std::int64_t endedAt,
                            const std::map<std::string, Run> &runs)
{
    const auto run = runs.find(attempt);
    return "request " + attempt + " to " + host + " sent " + std::to_string(sentAt)
           + (status == 0 ? ", no answer, ended " : ", answered " + std::to_string(status) + " at ")
           + std::to_string(endedAt)
           + (run == runs.end() ? ", not run"
                                : ", run by " + run->second.worker + " at " + std::to_string(run->second.at));
}

/// A port that is free on all addresses.
static std::uint16_t commonFreePort(const std::vector<std::string> &ips, std::set<std::uint16_t> &used)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        const auto port = static_cast<std::uint16_t>(20000 + randomNumbers()() % 10000);
        bool isFree = used.insert(port).second;
        for (const std::string &ip : ips) {
            const int descriptor = isFree ? listenOn(ip, port) : -1;
            isFree = descriptor >= 0;
            if (isFree) {
                ::close(descriptor);
            }
        }
        if (isFree) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

std::vector<HostOptions> smallDeployment()
{
    const std::vector<std::string> zones{"seq-a", "seq-a", "seq-b", "seq-c"};
    const std::string network =
        "127." + std::to_string(10 + randomNumbers()() % 200) + "." + std::to_string(1 + randomNumbers()() % 250) + ".";
    std::vector<std::string> ips;
    for (std::size_t number = 1; number <= zones.size(); ++number) {
        ips.push_back(network + std::to_string(number));
    }
    std::set<std::uint16_t> used;
    HostOptions common{.frontend = commonFreePort(ips, used),
                       .ready = commonFreePort(ips, used),
                       .control = commonFreePort(ips, used),
                       .firstPort = commonFreePort(ips, used),
                       .lastPort = commonFreePort(ips, used)};
    std::vector<HostOptions> hosts;
    for (std::size_t index = 0; index < ips.size(); ++index) {
        HostOptions host = common;
        host.ip = ips[index];
        host.zone = zones[index];
        // At most three machines are seeds.
        for (const std::size_t seed : {0U, 2U, 3U}) {
            host.seeds.push_back(ips[seed] + ":" + std::to_string(common.control));
        }
        host.memoryMb = host.zone == "seq-a" ? 260 : 520;
        host.maxFds = host.zone == "seq-a" ? 4200 : 8400;
        hosts.push_back(host);
    }
    return hosts;
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
