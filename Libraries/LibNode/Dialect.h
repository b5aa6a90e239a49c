#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCatalogue/ShareCounters.h>
#include <LibCore/Result.h>
#include <LibCustomers/CustomerKeys.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/Registry.h>
#include <LibNode/Announcement.h>
#include <LibNode/Call.h>

#include <functional>
#include <string>
#include <string_view>

/// The wire format of requests, answers and announcements exchanged with callers and the target. A
/// node uses one dialect; each dialect registers itself.
namespace chive {

/// What decides which customer a caller's request belongs to.
struct CallerKeys
{
    CustomerKeys table; ///< Of the catalogue with which the request is read.
    /// A peer has a newer version, which may hold keys that the table does not.
    bool isNewerVersionKnown = false;
    /// Whether a request without a key comes from the local target, which has none.
    std::function<bool(std::string_view requestId, std::string_view kind)> isNestedCall;
};

/// The context that is needed to read a request.
struct RequestSource
{
    const Catalogue &catalogue;
    ShareCounters &shares;         ///< Distributes the requests of a route over its services.
    std::string_view localService; ///< Service of the VM on which the request was made.
    const CallerKeys *callerKeys = nullptr; ///< Null: requests at this endpoint carry no keys.
};

/// What a request to a target carries besides the call itself.
struct TargetIdentity
{
    std::string_view callToken; ///< Identifies this call among those that the target runs.
    std::string_view targetId;  ///< The intended start of the target; empty: any.
};

struct Dialect
{
    std::string_view name;

    /// Parses a caller's request into a call. All verdicts are NotRun.
    Judged<Call> (*readCall)(const HttpRequest &request, const RequestSource &source, TimePoint now)
            = nullptr;

    /// The request's id, for the refusal of a request that could not be parsed. May be empty.
    std::string (*requestIdOf)(const HttpRequest &request) = nullptr;

    /// The id of the call for which the target made a nested request, taken from the id of that
    /// request; empty if it cannot be determined. Anyone can send any id, so only the order of work
    /// and the need for a key may depend on it.
    std::string_view (*parentOf)(std::string_view requestId) = nullptr;

    /// Builds the request to the target.
    HttpRequest (*requestForTarget)(const Call &call, const TargetIdentity &target, TimePoint now)
            = nullptr;

    /// Header of the request to the target that the target must repeat in its response.
    std::string_view echoedHeader;
    BodyEnd bodyEnd = BodyEnd::Framed;

    /// Parses a target's response into an answer, or into the verdict that it carries.
    Judged<Answer> (*readAnswer)(HttpResponse response) = nullptr;

    /// Builds the response to the caller.
    HttpResponse (*responseFor)(const Judged<Answer> &result, std::string_view requestId) = nullptr;

    /// Whether a request at the target's endpoint is an announcement rather than a nested call.
    bool (*isAnnouncement)(const HttpRequest &request) = nullptr;
    Result<Announcement> (*readAnnouncement)(const HttpRequest &request) = nullptr;

    /// Whether the response to a health check is of the target with this id, and the target serves
    /// and is not leaving. Null: targets cannot be asked.
    bool (*confirmsServing)(const HttpResponse &response, std::string_view targetId) = nullptr;
};

/// The rules by which a response is accepted as the answer to this request to a target.
[[nodiscard]] ResponseRules rulesFor(const Dialect &dialect, const HttpRequest &request);

/// The dialect that the settings name. Ends the process if there is no dialect of that name.
[[nodiscard]] const Dialect &dialectOf(const Settings &settings);

} // namespace chive
