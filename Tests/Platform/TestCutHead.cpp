#include <LibHttp/ResponseReader.h>
#include <LibNode/Dialect.h>

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 1'000;
using State = ResponseReader::State;

const Dialect &dialect()
{
    const Dialect *found = Registry<Dialect>::find("platform");
    REQUIRE(found != nullptr);
    return *found;
}

/// What a target sends, with each header that the dialect acts on.
constexpr std::array<std::string_view, 4> heads{
        "HTTP/1.1 200 OK\r\nX-Chiverouter-Attempt-Id: id-1\r\n"
        "X-Chiverouter-Response-Stamp: 3e1b.07\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Chiverouter-Response-Stamp: 3e1b.07\r\n"
        "X-Chiverouter-Attempt-Id: id-1\r\n\r\n",
        "HTTP/1.1 503 Service Unavailable\r\nX-Chiverouter-Attempt-Id: id-1\r\n"
        "X-Chiverouter-Not-Executed: 1\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 421 Misdirected Request\r\nX-Chiverouter-Attempt-Id: id-1\r\n\r\n",
};

} // namespace

TEST_CASE("A target's response that is cut in its head is neither an answer nor a refusal")
{
    for (const std::string_view head : heads) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            CAPTURE(head);
            CAPTURE(cut);
            ResponseReader reader("GET", bodyLimit);
            reader.feed(head.substr(0, cut));
            reader.finishAtClose();
            CHECK(reader.state() == (cut == 0 ? State::Empty : State::Malformed));
        }
    }
}

TEST_CASE("A response whose head lost lines at its end is told as one that may have run")
{
    const std::string blankLine = "\r\n";
    for (const std::string_view head : heads) {
        // Up to the first line that the dialect acts on: the status line alone.
        const std::size_t statusLine = head.find(blankLine) + blankLine.size();
        ResponseReader reader("GET", bodyLimit);
        reader.feed(std::string(head.substr(0, statusLine)) + blankLine);
        reader.finishAtClose();
        REQUIRE(reader.state() == State::Complete);
        const Judged<Answer> answer = dialect().readAnswer(reader.take());
        CAPTURE(head);
        REQUIRE_FALSE(answer.has_value());
        CHECK(answer.error().execution == Execution::MayHaveRun);
        CHECK_FALSE(answer.error().retryAfter.has_value());
    }
}

TEST_CASE("A response that was cut reaches the caller as a failure that may have run")
{
    const HttpResponse response
            = dialect().responseFor(mayHaveRun(Reason::IncompleteAnswer, "cut"), "id-1");
    CHECK(response.status == 502);
    CHECK(findHeader(response.headers, "X-Chiverouter-Attempt-Id") == "id-1");
    CHECK(findHeader(response.headers, "X-Chiverouter-Response-Stamp").empty());
    CHECK(findHeader(response.headers, "X-Chiverouter-Not-Executed").empty());
    CHECK(findHeader(response.headers, "Retry-After").empty());
    CHECK(bytesOf(response.body).starts_with("may-have-run "));
}
