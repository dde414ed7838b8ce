#pragma once

#include "http/HttpServer.h"
#include "platformstandin/LinkProxy.h"
#include "platformstandin/MetadataStoreStandIn.h"

#include <map>
#include <memory>
#include <string>

namespace Carawaymill {

/// The links of one host to the platform's targets: the host sees the store with addresses of proxies in the targets'
/// records. A path through several targets cannot be served over them, since it names their addresses.
class HostLinks
{
public:
    /// `store` must outlive this object.
    HostLinks(boost::asio::io_context &context, MetadataStoreStandIn &store);

    /// IP address and port at which the host reaches the store.
    [[nodiscard]] std::string storeAddress() const;

    /// Sets the state of the links to all targets, also to those that the host has not seen yet.
    void setState(LinkState state);

private:
    [[nodiscard]] std::string proxyAddress(const std::string &targetAddress);
    /// Replaces the addresses of targets in a response of the store.
    [[nodiscard]] std::string rewritten(const std::string &body);
    void rewriteItem(nlohmann::json &item);

    class RewritingResponder;

    boost::asio::io_context &m_context;
    LinkState m_state = LinkState::Open;
    std::map<std::string, std::unique_ptr<LinkProxy>> m_proxies;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Carawaymill
