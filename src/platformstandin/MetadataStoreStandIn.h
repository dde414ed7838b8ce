#pragma once

#include "http/HttpServer.h"
#include "platformstandin/MetadataStoreCodec.h"
#include "standins/KeyValueStore.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Carawaymill {

struct MetadataStoreStandInOptions
{
    /// Maximum number of records in a page of a range.
    std::size_t pageSize = 500;
};

/// Stand-in for the platform's metadata store on a free port of 127.0.0.1.
///
/// The state is that of `KeyValueStore`; `tick` answers the watches that wait.
class MetadataStoreStandIn
{
public:
    explicit MetadataStoreStandIn(boost::asio::io_context &context, MetadataStoreStandInOptions options = {});

    /// IP address and port.
    [[nodiscard]] std::string address() const;

    void tick(TimePoint now);

    /// Answers a call.
    void handle(const HttpRequest &request, std::unique_ptr<HttpResponder> responder);

    /// Writes or deletes a record as the operators or a target do.
    void write(const std::string &key, const std::string &value, TimePoint now);
    void remove(const std::string &key, TimePoint now);

    /// While the store is down, it answers each call 503 and cuts the watches that wait.
    void setDown(bool down);

    /// Keeps a copy of the present state.
    void keepCopy() { m_copy = m_store; }

    /// Returns to the copy: revisions go back, all leases have ended with their records, and the era grows by one.
    void returnFromCopy();

    [[nodiscard]] const KeyValueStore &store() const { return m_store; }

private:
    struct WaitingWatch
    {
        MetadataStoreCall call;
        std::unique_ptr<HttpResponder> responder;
        TimePoint end;
    };

    void respond(HttpResponder &responder, HttpResponse response) const;
    [[nodiscard]] KeyValueResult apply(const MetadataStoreCall &call, TimePoint now);
    [[nodiscard]] Revision revisionOf(const std::string &key) const;

    MetadataStoreStandInOptions m_options;
    KeyValueStore m_store;
    KeyValueStore m_copy;
    std::uint64_t m_era = 1;
    std::vector<WaitingWatch> m_watches;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Carawaymill
