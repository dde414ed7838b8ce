#include "node/Problem.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cassert>

namespace Carawaymill {

namespace {

struct ProblemKind
{
    ProblemType type;
    const char *name;
    unsigned status;
};

} // namespace

static constexpr std::array problemKinds = {
    ProblemKind{ProblemType::MalformedBody, "malformed-body", 400},
    ProblemKind{ProblemType::InvalidField, "invalid-field", 400},
    ProblemKind{ProblemType::Unauthenticated, "unauthenticated", 401},
    ProblemKind{ProblemType::Forbidden, "forbidden", 403},
    ProblemKind{ProblemType::EntryUnknown, "entry-unknown", 404},
    ProblemKind{ProblemType::NotFound, "not-found", 404},
    ProblemKind{ProblemType::MethodNotAllowed, "method-not-allowed", 405},
    ProblemKind{ProblemType::LimitReached, "limit-reached", 429},
    ProblemKind{ProblemType::Overloaded, "overloaded", 503},
    ProblemKind{ProblemType::Draining, "draining", 503},
    ProblemKind{ProblemType::NotReady, "not-ready", 503},
    ProblemKind{ProblemType::NoTarget, "no-target", 503},
    ProblemKind{ProblemType::Quarantined, "quarantined", 422},
    ProblemKind{ProblemType::DeadlineExceeded, "deadline-exceeded", 504},
    ProblemKind{ProblemType::TooManyRepairs, "too-many-repairs", 502},
    ProblemKind{ProblemType::KeyReusedWithOtherBody, "key-reused-with-other-body", 422},
    ProblemKind{ProblemType::KeyInProgress, "key-in-progress", 409},
    ProblemKind{ProblemType::AlreadyRan, "already-ran", 409},
    ProblemKind{ProblemType::OutcomeUnknown, "outcome-unknown", 502},
    ProblemKind{ProblemType::LedgerUnavailable, "ledger-unavailable", 503},
    ProblemKind{ProblemType::NotSupported, "not-supported", 501},
};

static const ProblemKind &kindOf(ProblemType type)
{
    const ProblemKind &kind = problemKinds.at(static_cast<std::size_t>(type));
    assert(kind.type == type);
    return kind;
}

std::string problemName(ProblemType type)
{
    return std::string("urn:carawaymill:problem:") + kindOf(type).name;
}

unsigned problemStatus(ProblemType type)
{
    return kindOf(type).status;
}

const char *ranName(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        return "unknown";
    }
    return "unknown";
}

HttpResponse problemResponse(const Problem &problem)
{
    const unsigned status = problemStatus(problem.type);
    nlohmann::json body = {{"type", problemName(problem.type)},
                           {"title", kindOf(problem.type).name},
                           {"status", status},
                           {"detail", problem.detail},
                           {"ran", ranName(problem.ran)}};
    if (!problem.field.empty()) {
        body["field"] = problem.field;
    }
    HttpResponse response{.status = status, .headers = {{"Content-Type", "application/problem+json"}}, .body = {}};
    if (problem.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*problem.retryAfter).count();
        response.headers.emplace_back("Retry-After", std::to_string(seconds));
        body["retryAfterSeconds"] = seconds;
    }
    response.body = body.dump();
    return response;
}

} // namespace Carawaymill
