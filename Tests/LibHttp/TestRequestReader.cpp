#include <LibHttp/RequestReader.h>

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 1'000;
using State = RequestReader::State;

/// Feeds all bytes in pieces of this size and takes each request that is complete. Ends early with
/// a request that is not readable.
std::vector<HttpRequest> readAll(RequestReader &reader, std::string_view bytes, std::size_t piece)
{
    std::vector<HttpRequest> requests;
    while (!bytes.empty()) {
        const std::size_t taken = reader.feed(bytes.substr(0, piece));
        bytes.remove_prefix(taken);
        if (reader.state() == State::Complete)
            requests.push_back(reader.take());
        else if (reader.state() != State::Empty && reader.state() != State::Reading)
            break;
    }
    return requests;
}

} // namespace

TEST_CASE("Requests are read the same wherever their bytes are split")
{
    const std::string bytes = "GET /a?b=c HTTP/1.1\r\nHost: one\r\nX-Id: 7\r\n\r\n"
                              "POST /b HTTP/1.1\r\nHost: two\r\nContent-Length: 4\r\n\r\nbody"
                              "\r\nPUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "3\r\nbod\r\n1\r\ny\r\n0\r\nX-Trailer: t\r\n\r\n"
                              "GET /d HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
                              "DELETE /e HTTP/1.1\r\n\r\n";
    for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
        CAPTURE(piece);
        RequestReader reader(bodyLimit);
        const auto requests = readAll(reader, bytes, piece);
        REQUIRE(requests.size() == 5);
        CHECK(requests[0].method == "GET");
        CHECK(requests[0].target == "/a?b=c");
        CHECK(findHeader(requests[0].headers, "X-Id") == "7");
        CHECK(bytesOf(requests[1].body) == "body");
        CHECK(findHeader(requests[1].headers, "Host") == "two");
        CHECK(bytesOf(requests[2].body) == "body");
        CHECK(findHeader(requests[2].headers, "X-Trailer").empty());
        CHECK(requests[3].target == "/d");
        CHECK(requests[4].method == "DELETE");
        CHECK(reader.state() == State::Empty);
    }
}

TEST_CASE("A request with a fault is told from a whole one, wherever its bytes are split")
{
    struct Sample
    {
        std::string bytes;
        State expected = State::Malformed;
    };
    const std::string largeBody(bodyLimit + 1, 'x');
    const std::array<Sample, 12> samples{{
            {"no request at all\r\n\r\n", State::Unsupported},
            {"GET /\r\n\r\n", State::Malformed},
            {"GET / HTTP/2.0\r\n\r\n", State::Malformed},
            {"GET / HTTP/1.1\r\nX-Id 7\r\n\r\n", State::Malformed},
            {"POST / HTTP/1.1\r\nContent-Length : 4\r\n\r\nbody", State::Malformed},
            {"POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
             State::Malformed},
            {"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             State::Malformed},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", State::Malformed},
            {"TRACE / HTTP/1.1\r\n\r\n", State::Unsupported},
            {"GET / HTTP/1.1\r\nX-Id: " + std::string(70'000, 'x') + "\r\n\r\n",
             State::HeadTooLarge},
            {"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", State::BodyTooLarge},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + largeBody + "\r\n",
             State::BodyTooLarge},
    }};
    for (const Sample &sample : samples) {
        CAPTURE(sample.bytes.substr(0, 60));
        const std::size_t mostPiece = std::min<std::size_t>(sample.bytes.size(), 100);
        for (std::size_t piece = 1; piece <= mostPiece; ++piece) {
            RequestReader reader(bodyLimit);
            CHECK(readAll(reader, sample.bytes, piece).empty());
            REQUIRE(reader.state() == sample.expected);
            CHECK(reader.feed("GET / HTTP/1.1\r\n\r\n") == 0);
        }
    }
}

TEST_CASE("The reader tells whether the peer keeps the connection")
{
    const auto keeps = [](std::string_view bytes) {
        RequestReader reader(bodyLimit);
        reader.feed(bytes);
        REQUIRE(reader.state() == State::Complete);
        return reader.keepsConnection();
    };
    CHECK(keeps("GET / HTTP/1.1\r\n\r\n"));
    CHECK_FALSE(keeps("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"));
    CHECK_FALSE(keeps("GET / HTTP/1.0\r\n\r\n"));
    CHECK(keeps("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"));
}

TEST_CASE("The reader tells whether the peer waits for an interim response")
{
    RequestReader reader(bodyLimit);
    reader.feed("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n");
    CHECK_FALSE(reader.awaitsContinue());
    reader.feed("\r\n");
    CHECK(reader.awaitsContinue());
    reader.feed("bo");
    CHECK_FALSE(reader.awaitsContinue());
    reader.feed("dy");
    CHECK(reader.state() == State::Complete);
}

TEST_CASE("Control bytes make a request malformed, except in the header that may hold them")
{
    const auto read = [](const std::string &headers, std::string_view allowed) {
        auto reader = std::make_unique<RequestReader>(bodyLimit);
        reader->allowControlBytesIn(allowed);
        reader->feed("POST / HTTP/1.1\r\n" + headers + "\r\n");
        return reader;
    };
    const std::string key = "Bearer \x01k\x7F" + std::string(1, '\0') + "\x1B";
    const std::string header = "authorization: " + key + "\r\n";
    CHECK(read(header, "")->state() == State::Malformed);
    const auto reader = read(header + "X-Next: 1\r\n", "Authorization");
    REQUIRE(reader->state() == State::Complete);
    const HttpRequest request = reader->take();
    CHECK(findHeader(request.headers, "Authorization") == key);
    CHECK(findHeader(request.headers, "X-Next") == "1");

    SUBCASE("and whatever else makes one malformed still does")
    {
        const std::string trailers = "Transfer-Encoding: chunked\r\n\r\n0\r\n";
        for (const std::string &headers : {
                     "X-Other: \x01\r\n" + header,
                     header + "X-Other: \x7F\r\n",
                     trailers + "X-Trailer: \x01\r\n",
                     trailers + header,
                     header + "Transfer-Encoding: gzip\r\n",
                     header + "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n",
                     header + "Transfer-Encoding: chunked, gzip\r\n",
                     header + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n",
                     header + "Content-Length: 0\r\nContent-Length: 1\r\n",
                     header + "Content-Length : 4\r\n",
                     std::string("Authorization: Bearer k\rX: y\r\n"),
             }) {
            CAPTURE(headers);
            CHECK(read(headers, "Authorization")->state() == State::Malformed);
        }
    }
    SUBCASE("on an open connection, from the next request on")
    {
        RequestReader open(bodyLimit);
        const std::string next = "GET / HTTP/1.1\r\n" + header + "\r\n";
        open.feed("GET / HTTP/1.1\r\n\r\n");
        (void)open.take();
        open.allowControlBytesIn("Authorization");
        open.feed(next);
        REQUIRE(open.state() == State::Complete);
        (void)open.take();
        open.allowControlBytesIn("");
        open.feed(next);
        CHECK(open.state() == State::Malformed);
    }
}
