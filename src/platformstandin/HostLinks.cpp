#include "platformstandin/HostLinks.h"

#include "support/Base64.h"
#include "support/Codec.h"

namespace Carawaymill {

/// Passes on the store's response with other addresses of targets.
class HostLinks::RewritingResponder final : public HttpResponder
{
public:
    RewritingResponder(HostLinks &links, std::unique_ptr<HttpResponder> responder)
        : m_links(links)
        , m_responder(std::move(responder))
    {
    }

    void send(const HttpResponse &response) override
    {
        HttpResponse changed = response;
        changed.body = m_links.rewritten(response.body);
        m_responder->send(changed);
    }

    void startStream(const HttpResponse &head) override { m_responder->startStream(head); }

    void writeChunk(const std::string &chunk) override { m_responder->writeChunk(chunk); }

    void finishStream() override { m_responder->finishStream(); }

    void onCallerDisconnected(std::function<void()> callback) override
    {
        m_responder->onCallerDisconnected(std::move(callback));
    }

private:
    HostLinks &m_links;
    std::unique_ptr<HttpResponder> m_responder;
};

HostLinks::HostLinks(boost::asio::io_context &context, MetadataStoreStandIn &store)
    : m_context(context)
    , m_server(std::get<std::unique_ptr<HttpServer>>(HttpServer::create(
          context, {}, [this, &store](const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
              store.handle(request, std::make_unique<RewritingResponder>(*this, std::move(responder)));
          })))
{
}

std::string HostLinks::storeAddress() const
{
    return "127.0.0.1:" + std::to_string(m_server->port());
}

void HostLinks::setState(LinkState state)
{
    m_state = state;
    for (const auto &[address, proxy] : m_proxies) {
        proxy->setState(state);
    }
}

std::string HostLinks::proxyAddress(const std::string &targetAddress)
{
    std::unique_ptr<LinkProxy> &proxy = m_proxies[targetAddress];
    if (!proxy) {
        proxy = std::make_unique<LinkProxy>(m_context, targetAddress);
        proxy->setState(m_state);
    }
    return proxy->address();
}

void HostLinks::rewriteItem(nlohmann::json &item)
{
    if (!item.is_object() || !item.value("Key", "").starts_with("servers/") || !item.contains("Value")) {
        return;
    }
    const auto value = decodeBase64(item.at("Value").get<std::string>());
    const auto parsed = parseJson(std::get<std::string>(value));
    auto record = std::get<nlohmann::json>(parsed);
    record["Address"] = proxyAddress(record.at("Address").get<std::string>());
    item["Value"] = encodeBase64(record.dump());
}

std::string HostLinks::rewritten(const std::string &body)
{
    const auto parsed = parseJson(body);
    const auto *read = std::get_if<nlohmann::json>(&parsed);
    if (read == nullptr || !read->is_object()) {
        return body;
    }
    nlohmann::json json = *read;
    rewriteItem(json);
    for (const char *list : {"Entries", "events"}) {
        if (const auto found = json.find(list); found != json.end()) {
            for (nlohmann::json &item : *found) {
                rewriteItem(item);
            }
        }
    }
    return json.dump();
}

} // namespace Carawaymill
