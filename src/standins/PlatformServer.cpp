#include "standins/PlatformServer.h"

#include "hostlist/HostListCodec.h"
#include "standins/KeyValueFaultsCodec.h"

namespace Carawaymill {

static constexpr unsigned statusBadRequest = 400;
static constexpr unsigned statusNotFound = 404;

static HttpResponse respond(unsigned status, const nlohmann::json &body)
{
    return HttpResponse{
        .status = status, .headers = {{"content-type", "application/json"}}, .body = body.dump() + "\n"};
}

static HttpResponse refuse(const DecodeFailure &failure)
{
    return respond(statusBadRequest, {{"field", failure.field}});
}

PlatformServer::PlatformServer(PlatformServerOptions options)
    : m_store(options.store)
    , m_service(m_store)
    , m_hosts(options.hostListLag)
{
    m_hosts.change(std::move(options.hosts), TimePoint());
}

void PlatformServer::handle(const HttpRequest &request, std::unique_ptr<HttpResponder> responder, TimePoint now)
{
    if (request.target.starts_with("/v3/")) {
        m_service.handle(request, std::move(responder), now);
        return;
    }
    responder->send(control(request, now));
}

HttpResponse PlatformServer::control(const HttpRequest &request, TimePoint now)
{
    if (request.target == "/hosts" && request.method == "GET") {
        return respond(200, m_hosts.read(now));
    }
    if (request.target == "/hosts" && request.method == "PUT") {
        return changeHosts(request, now);
    }
    if (request.target == "/counts" && request.method == "GET") {
        return respond(200, m_store.counts());
    }
    if (request.target == "/faults" && request.method == "POST") {
        return changeFaults(request);
    }
    return respond(statusNotFound, nlohmann::json::object());
}

HttpResponse PlatformServer::changeHosts(const HttpRequest &request, TimePoint now)
{
    const auto json = parseJson(request.body);
    if (const auto *failure = std::get_if<DecodeFailure>(&json)) {
        return refuse(*failure);
    }
    auto list = decode<HostListRead>(std::get<nlohmann::json>(json));
    if (const auto *failure = std::get_if<DecodeFailure>(&list)) {
        return refuse(*failure);
    }
    m_hosts.change(std::get<HostListRead>(std::move(list)), now);
    return respond(200, nlohmann::json::object());
}

HttpResponse PlatformServer::changeFaults(const HttpRequest &request)
{
    static constexpr const char *delayField = "answerDelayMilliseconds";
    auto json = parseJson(request.body);
    if (const auto *failure = std::get_if<DecodeFailure>(&json)) {
        return refuse(*failure);
    }
    auto &faults = std::get<nlohmann::json>(json);
    Duration delay{-1};
    if (faults.is_object() && faults.contains(delayField)) {
        if (!faults.at(delayField).is_number_unsigned()) {
            return refuse(DecodeFailure{.field = std::string("/") + delayField});
        }
        delay = std::chrono::milliseconds(faults.at(delayField).get<std::uint32_t>());
        faults.erase(delayField);
    }
    const auto applied = applyFaults(faults, m_store);
    if (const auto *failure = std::get_if<DecodeFailure>(&applied)) {
        return refuse(*failure);
    }
    if (delay >= 0us) {
        m_service.setAnswerDelay(delay);
    }
    return respond(200, nlohmann::json::object());
}

} // namespace Carawaymill
