#include "platformstandin/MetadataStoreStandIn.h"

#include "support/BootClock.h"

#include <utility>

namespace Carawaymill {

static constexpr unsigned statusBadRequest = 400;
static constexpr unsigned statusForbidden = 403;

MetadataStoreStandIn::MetadataStoreStandIn(boost::asio::io_context &context, MetadataStoreStandInOptions options)
    : m_options(options)
    , m_store(KeyValueStoreOptions{})
    , m_copy(m_store)
    , m_server(std::get<std::unique_ptr<HttpServer>>(
          HttpServer::create(context, {}, [this](const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
              handle(request, std::move(responder));
          })))
{
}

std::string MetadataStoreStandIn::address() const
{
    return "127.0.0.1:" + std::to_string(m_server->port());
}

void MetadataStoreStandIn::tick(TimePoint now)
{
    m_store.endDueLeases(now);
    std::erase_if(m_watches, [&](const WaitingWatch &waiting) {
        const auto &watch = std::get<WatchRange>(waiting.call.request);
        auto result = m_store.pollWatch(watch, now);
        if (!result && now >= waiting.end) {
            result = RangeChanged{.written = {}, .deletedKeys = {}, .storeRevision = watch.after};
        }
        if (result) {
            respond(*waiting.responder, encodeMetadataStoreResult(waiting.call, *result, m_options.pageSize));
        }
        return result.has_value();
    });
}

void MetadataStoreStandIn::write(const std::string &key, const std::string &value, TimePoint now)
{
    (void)m_store.apply(Commit{{WriteOperation{.key = key, .value = value, .expected = revisionOf(key)}}}, now);
}

void MetadataStoreStandIn::remove(const std::string &key, TimePoint now)
{
    (void)m_store.apply(Commit{{DeleteOperation{.key = key, .expected = revisionOf(key)}}}, now);
}

void MetadataStoreStandIn::setDown(bool down)
{
    m_store.faults().outage = down;
    m_watches.clear();
}

void MetadataStoreStandIn::returnFromCopy()
{
    const std::uint64_t granted = m_store.counts().grants;
    m_store = m_copy;
    m_store.endDueLeases(TimePoint::max());
    // The revisions are given out again, but no lease of one era is valid under the same id in another.
    for (std::uint64_t id = m_store.counts().grants; id < granted; ++id) {
        (void)m_store.apply(GrantLease{.timeToLive = Duration::zero()}, TimePoint());
    }
    ++m_era;
    m_watches.clear();
}

void MetadataStoreStandIn::handle(const HttpRequest &request, std::unique_ptr<HttpResponder> responder)
{
    const TimePoint now = readBootClock();
    auto decoded = decodeMetadataStoreCall(request, [this](const std::string &key) { return revisionOf(key); });
    if (const auto *failure = std::get_if<DecodeFailure>(&decoded)) {
        respond(*responder, {.status = statusBadRequest, .headers = {}, .body = failure->field});
        return;
    }
    auto &call = std::get<MetadataStoreCall>(decoded);
    if (writesForeignKeys(call)) {
        respond(*responder, {.status = statusForbidden, .headers = {}, .body = {}});
        return;
    }
    const KeyValueResult result = apply(call, now);
    if (const auto *changed = std::get_if<RangeChanged>(&result);
        changed != nullptr && changed->written.empty() && changed->deletedKeys.empty()) {
        const TimePoint end = now + std::get<WatchRange>(call.request).wait;
        m_watches.push_back({.call = std::move(call), .responder = std::move(responder), .end = end});
        return;
    }
    respond(*responder, encodeMetadataStoreResult(call, result, m_options.pageSize));
}

KeyValueResult MetadataStoreStandIn::apply(const MetadataStoreCall &call, TimePoint now)
{
    if (const auto *watch = std::get_if<WatchRange>(&call.request);
        watch != nullptr && m_store.revision() < watch->after && !m_store.faults().outage) {
        return WatchCompacted{.storeRevision = m_store.revision()};
    }
    return m_store.apply(call.request, now);
}

void MetadataStoreStandIn::respond(HttpResponder &responder, HttpResponse response) const
{
    response.headers.emplace_back("Store-Era", std::to_string(m_era));
    responder.send(response);
}

Revision MetadataStoreStandIn::revisionOf(const std::string &key) const
{
    const auto record = m_store.record(key);
    return record ? record->revision : Revision(0);
}

} // namespace Carawaymill
