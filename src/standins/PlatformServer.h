#pragma once

#include "http/HttpResponder.h"
#include "standins/KeyValueService.h"
#include "standins/KeyValueStore.h"
#include "standins/LaggingHostList.h"

#include <memory>

namespace Carawaymill {

/// Largest request. A record of one megabyte grows by a third in base64, and a commit may have several.
inline constexpr ByteCount platformBodyLimit{8ULL * 1024ULL * 1024ULL};

struct PlatformServerOptions
{
    KeyValueStoreOptions store;
    /// A change of the host list shows so much later.
    Duration hostListLag = 2s;
    HostListRead hosts;
};

/// The stand-in for the platform behind one HTTP listener: key-value service, host list, and their tests' controls.
///
/// `/v3/...`: key-value service; `GET /hosts` and `PUT /hosts`: host list; `GET /counts`: calls so far;
/// `POST /faults`: see `applyFaults`, and `answerDelayMilliseconds`.
class PlatformServer
{
public:
    explicit PlatformServer(PlatformServerOptions options);

    void handle(const HttpRequest &request, std::unique_ptr<HttpResponder> responder, TimePoint now);

    /// To be called every few milliseconds.
    void tick(TimePoint now) { m_service.tick(now); }

private:
    [[nodiscard]] HttpResponse control(const HttpRequest &request, TimePoint now);
    [[nodiscard]] HttpResponse changeHosts(const HttpRequest &request, TimePoint now);
    [[nodiscard]] HttpResponse changeFaults(const HttpRequest &request);

    KeyValueStore m_store;
    KeyValueService m_service;
    LaggingHostList m_hosts;
};

} // namespace Carawaymill
