#pragma once

#include "hostlist/HostListMessages.h"
#include "http/HttpClient.h"

#include <functional>
#include <memory>
#include <string>

namespace Carawaymill {

struct HostListHttpClientOptions
{
    /// IP number and port of the platform's host list.
    std::string address;
    /// Time between the end of one reading and the start of the next.
    Duration interval = 1s;
    Duration timeout = 2s;
};

/// Reads the platform's host list again and again. A reading that fails is left out: the last one stays in force.
class HostListHttpClient
{
public:
    /// `client` must outlive this object and the reading in progress. Nothing is called back after destruction.
    HostListHttpClient(boost::asio::io_context &context,
                       HttpClient &client,
                       HostListHttpClientOptions options,
                       std::function<void(HostListRead list)> callback);
    HostListHttpClient(const HostListHttpClient &) = delete;
    HostListHttpClient &operator=(const HostListHttpClient &) = delete;
    ~HostListHttpClient();

private:
    class Implementation;

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Carawaymill
