#include <LibHttp/ResponseReader.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <string_view>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 1'000;
using State = ResponseReader::State;

const std::string framed = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Id: 7\r\n\r\nbody";
const std::string chunked
        = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
const std::string lengthless = "HTTP/1.1 200 OK\r\n\r\nbody";

} // namespace

TEST_CASE("A response is whole when its last byte has come, wherever it is cut")
{
    for (const std::string &bytes : {framed, chunked}) {
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            CAPTURE(cut);
            ResponseReader reader("GET", bodyLimit);
            CHECK(reader.feed(std::string_view(bytes).substr(0, cut)) == cut);
            CHECK((reader.state() == State::Complete) == (cut == bytes.size()));
            reader.feed(std::string_view(bytes).substr(cut));
            REQUIRE(reader.state() == State::Complete);
            CHECK(reader.keepsConnection());
            CHECK(bytesOf(reader.take().body) == "body");
        }
    }
}

TEST_CASE("Bytes after a response are left alone")
{
    ResponseReader reader("GET", bodyLimit);
    CHECK(reader.feed(framed + framed) == framed.size());
    CHECK(reader.state() == State::Complete);
    const HttpResponse response = reader.take();
    CHECK(response.status == 200);
    CHECK(findHeader(response.headers, "X-Id") == "7");
}

TEST_CASE("Interim responses are skipped")
{
    ResponseReader reader("POST", bodyLimit);
    reader.feed("HTTP/1.1 100 Continue\r\n\r\n" + framed);
    REQUIRE(reader.state() == State::Complete);
    CHECK(bytesOf(reader.take().body) == "body");
}

TEST_CASE("A trailer is no header")
{
    ResponseReader reader("GET", bodyLimit);
    reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n"
                "1\r\nx\r\n0\r\nX-Id: 2\r\nX-Verdict: refused\r\n\r\n");
    REQUIRE(reader.state() == State::Complete);
    const HttpResponse response = reader.take();
    CHECK(findHeader(response.headers, "X-Id") == "1");
    CHECK(findHeader(response.headers, "X-Verdict").empty());
}

TEST_CASE("A body without a length ends with an orderly close only")
{
    ResponseReader reader("GET", bodyLimit);
    reader.feed(lengthless);
    CHECK(reader.state() == State::Reading);
    reader.finishAtClose();
    REQUIRE(reader.state() == State::Complete);
    CHECK_FALSE(reader.keepsConnection());
    CHECK(bytesOf(reader.take().body) == "body");
}

TEST_CASE("What is no response is told")
{
    ResponseReader reader("GET", bodyLimit);
    SUBCASE("other bytes")
    {
        reader.feed("this is no response\r\n\r\n");
    }
    SUBCASE("a body over the limit")
    {
        reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + std::string(2'000, 'x'));
    }
    SUBCASE("a framed body that the close cuts")
    {
        reader.feed(std::string_view(framed).substr(0, framed.size() - 1));
        reader.finishAtClose();
    }
    CHECK(reader.state() == State::Malformed);
}

TEST_CASE("A status is three digits from 100 to 599, wherever the response is cut")
{
    const auto stateAfter = [](const std::string &status, std::size_t cut) {
        const std::string bytes = "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nbody";
        ResponseReader reader("GET", bodyLimit);
        reader.feed(std::string_view(bytes).substr(0, cut));
        reader.feed(std::string_view(bytes).substr(std::min(cut, bytes.size())));
        return reader.state();
    };
    for (std::size_t cut = 0; cut < 60; ++cut) {
        CAPTURE(cut);
        for (const std::string status : {"000", "099", "1000", "0200", "20", "2", "", "abc", "2xx",
                                         "600", "999", "-200", "+200"}) {
            CAPTURE(status);
            CHECK(stateAfter(status, cut) == State::Malformed);
        }
        for (const std::string status : {"200", "404", "599"}) {
            CAPTURE(status);
            CHECK(stateAfter(status, cut) == State::Complete);
        }
    }
}

TEST_CASE("The status of a response after an interim one is checked as well")
{
    ResponseReader reader("POST", bodyLimit);
    reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(reader.state() == State::Malformed);
}
