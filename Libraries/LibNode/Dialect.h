#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCatalogue/ShareCounters.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/Registry.h>
#include <LibNode/Announcement.h>
#include <LibNode/Call.h>

#include <string>
#include <string_view>

/// How requests, answers and announcements look on the wire towards callers and the target. A node
/// speaks one dialect; each registers itself.
namespace chive {

/// Where a request came in, and what reading it needs.
struct RequestSource
{
    const Catalogue &catalogue;
    ShareCounters &shares;         ///< Spreads the requests of a route over its services.
    std::string_view localService; ///< Service of the VM on which the request began.
};

/// What a target needs to be told besides the call itself.
struct TargetIdentity
{
    std::string_view callToken; ///< Names this call among those that the target runs.
    std::string_view targetId;  ///< The start of the target that is meant; empty: any.
};

struct Dialect
{
    std::string_view name;

    /// Reads a caller's request into a call. All verdicts are NotRun.
    Judged<Call> (*readCall)(const HttpRequest &request, const RequestSource &source, TimePoint now)
            = nullptr;

    /// The request's id, for a refusal of what could not be read. May be empty.
    std::string (*requestIdOf)(const HttpRequest &request) = nullptr;

    /// The id of the call that the target made a request for, as far as the request's id shows it;
    /// empty where it does not. Only the order of work may depend on it.
    std::string_view (*parentOf)(std::string_view requestId) = nullptr;

    /// The request as the target gets it.
    HttpRequest (*requestForTarget)(const Call &call, const TargetIdentity &target, TimePoint now)
            = nullptr;

    std::string_view echoedHeader; ///< Of that request; the target repeats it in its response.
    BodyEnd bodyEnd = BodyEnd::Framed;

    /// The answer in a target's response, or the verdict that it carries.
    Judged<Answer> (*readAnswer)(HttpResponse response) = nullptr;

    /// The response that tells a caller the outcome.
    HttpResponse (*responseFor)(const Judged<Answer> &result, std::string_view requestId) = nullptr;

    /// Whether a request at the target's endpoint is an announcement rather than a nested call.
    bool (*isAnnouncement)(const HttpRequest &request) = nullptr;
    Result<Announcement> (*readAnnouncement)(const HttpRequest &request) = nullptr;
};

/// What a response must be to count as the answer to that request to a target.
[[nodiscard]] ResponseRules rulesFor(const Dialect &dialect, const HttpRequest &request);

/// The dialect that the settings name. Ends the process when there is none of that name.
[[nodiscard]] const Dialect &dialectOf(const Settings &settings);

} // namespace chive
