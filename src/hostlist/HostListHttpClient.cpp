#include "hostlist/HostListHttpClient.h"

#include "hostlist/HostListCodec.h"
#include "support/Codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Carawaymill {

class HostListHttpClient::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(boost::asio::io_context &context,
                   HttpClient &client,
                   HostListHttpClientOptions options,
                   std::function<void(HostListRead list)> callback)
        : m_timer(context)
        , m_client(client)
        , m_options(std::move(options))
        , m_callback(std::move(callback))
    {
    }

    void read()
    {
        m_client.send(m_options.address,
                      HttpRequest{.method = "GET", .target = "/hosts", .headers = {}, .body = {}},
                      HttpSendOptions{.timeout = m_options.timeout},
                      [weak = weak_from_this()](const HttpResult &result) {
                          if (const auto self = weak.lock()) {
                              self->take(result);
                              self->readLater();
                          }
                      });
    }

    void stop() { m_timer.cancel(); }

private:
    void take(const HttpResult &result)
    {
        const auto *response = std::get_if<HttpResponse>(&result);
        if (response == nullptr || response->status != 200) {
            return;
        }
        const auto json = parseJson(response->body);
        if (!std::holds_alternative<nlohmann::json>(json)) {
            return;
        }
        auto list = decode<HostListRead>(std::get<nlohmann::json>(json));
        if (auto *read = std::get_if<HostListRead>(&list)) {
            m_callback(std::move(*read));
        }
    }

    void readLater()
    {
        m_timer.expires_after(m_options.interval);
        m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            if (const auto self = weak.lock(); self != nullptr && !error) {
                self->read();
            }
        });
    }

    boost::asio::steady_timer m_timer;
    HttpClient &m_client;
    HostListHttpClientOptions m_options;
    std::function<void(HostListRead list)> m_callback;
};

HostListHttpClient::HostListHttpClient(boost::asio::io_context &context,
                                       HttpClient &client,
                                       HostListHttpClientOptions options,
                                       std::function<void(HostListRead list)> callback)
    : m_implementation(std::make_shared<Implementation>(context, client, std::move(options), std::move(callback)))
{
    m_implementation->read();
}

HostListHttpClient::~HostListHttpClient()
{
    m_implementation->stop();
}

} // namespace Carawaymill
