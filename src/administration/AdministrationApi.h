#pragma once

#include "administration/AdministrationMessages.h"
#include "catalogue/CatalogueReplica.h"

#include <map>
#include <string>
#include <vector>

namespace Carawaymill {

struct AdministrationOptions
{
    /// SHA-256 (lower-case hexadecimal) of the operators' bearer token.
    std::string tokenHash;
    /// How long `watch` waits for a change.
    Duration watchWait = 25s;
    /// A query that another part of the daemon has not answered after this time is given up.
    Duration queryTimeout = 5s;
};

struct InvalidAdministrationOptions
{
    std::string field;
};

/// The operators' HTTP interface below `/administration/v1/`.
class AdministrationApi
{
public:
    [[nodiscard]] static Result<AdministrationApi, InvalidAdministrationOptions> create(AdministrationOptions options);

    /// `catalogue` is this host's replica.
    [[nodiscard]] std::vector<AdministrationAction>
    handle(const AdministrationEvent &event, const CatalogueReplica &catalogue, TimePoint now);

private:
    using Actions = std::vector<AdministrationAction>;

    struct Route
    {
        std::string method;
        /// The parts of the path below `/administration/v1/`.
        std::vector<std::string> path;
        std::map<std::string, std::string> query;
    };

    struct Watch
    {
        Revision after;
        TimePoint until;
    };

    struct Query
    {
        AdministrationQueryKind kind = AdministrationQueryKind::Status;
        TimePoint expiresAt;
    };

    explicit AdministrationApi(AdministrationOptions options)
        : m_options(std::move(options))
    {
    }

    Actions handleRequest(const AdministrationRequest &request, const CatalogueReplica &catalogue, TimePoint now);
    Actions handleRecords(const AdministrationRequest &request, const Route &route, const CatalogueReplica &catalogue);
    Actions handleEdit(const AdministrationRequest &request, const Route &route);
    Actions handleInForce(CallId id, const Route &route, const CatalogueReplica &catalogue);
    Actions handleWatch(CallId id, const Route &route, const CatalogueReplica &catalogue, TimePoint now);
    Actions handleQuery(CallId id, AdministrationQueryKind kind, std::string argument, TimePoint now);
    Actions handleAnswer(const AdministrationAnswer &answer, const CatalogueReplica &catalogue, TimePoint now);
    Actions handleFinished(const EditFinished &finished);
    Actions tick(const CatalogueReplica &catalogue, TimePoint now);
    static Route routeOf(const HttpRequest &request);
    [[nodiscard]] bool isAuthorised(const HttpRequest &request) const;

    AdministrationOptions m_options;
    /// Requests that wait for the outcome of an edit; a repeat may wait for the same.
    std::multimap<EditId, CallId> m_edits;
    std::map<CallId, Watch> m_watches;
    std::map<CallId, Query> m_queries;
};

} // namespace Carawaymill
