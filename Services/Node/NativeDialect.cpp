#include <LibCore/Identifier.h>
#include <LibNode/Dialect.h>
#include <LibNode/Inbound.h>

/// The native HTTP interface of chiverouter (docs/PLATFORM.md, docs/CALLERS.md).
namespace chive {

namespace {

Judged<Call> readNativeCall(const HttpRequest &request, const RequestSource &source, TimePoint now)
{
    return readCall(request, source.catalogue, now);
}

std::string requestIdOf(const HttpRequest &request)
{
    return std::string(findHeader(request.headers, headers::requestId));
}

HttpRequest nativeRequestForTarget(const Call &call, const TargetIdentity &target, TimePoint now)
{
    return requestForTarget(call, target.callToken, now);
}

Judged<Answer> readAnswer(HttpResponse response)
{
    return Answer{response.status, std::move(response.headers), response.body};
}

/// Always empty, as the Chive-Call header identifies the parent.
std::string_view parentOf(std::string_view)
{
    return {};
}

bool isAnnouncement(const HttpRequest &request)
{
    return request.target == "/announce";
}

Result<Announcement> readAnnouncement(const HttpRequest &request)
{
    return parseAnnouncement(bytesOf(request.body));
}

const Registration<Dialect> registration{Dialect{
        "native",
        readNativeCall,
        requestIdOf,
        parentOf,
        nativeRequestForTarget,
        headers::call,
        BodyEnd::Framed,
        readAnswer,
        responseFor,
        isAnnouncement,
        readAnnouncement,
}};

} // namespace

} // namespace chive
