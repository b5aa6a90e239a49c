#include <ChiveRouter/NodeStatus.h>

#include <LibHttp/HttpClient.h>
#include <LibKernel/EventLoop.h>

#include <nlohmann/json.hpp>

#include <optional>

namespace chive {

namespace {

constexpr Milliseconds answerTimeout{5'000};
constexpr std::size_t maximumPageSize = 64 * 1024 * 1024; // bytes

} // namespace

Result<nlohmann::json> fetchJson(const Endpoint &admin, const std::string &path)
{
    EventLoop loop;
    HttpClient client(loop, admin, maximumPageSize);
    std::optional<HttpClient::Outcome> answer;
    client.send({"GET", path, {}, nullptr}, answerTimeout, [&](HttpClient::Outcome outcome) {
        answer = std::move(outcome);
        loop.stop();
    });
    loop.run();
    if (!answer->has_value())
        return Error{Error::Kind::Unavailable,
                     "node at " + format(admin) + ": " + answer->error().message};
    nlohmann::json page = nlohmann::json::parse(bytesOf(answer->value().body), nullptr, false);
    if (answer->value().status != 200 || !page.is_object())
        return Error{Error::Kind::Unavailable,
                     "node at " + format(admin) + ": no status report at " + path};
    return page;
}

} // namespace chive
