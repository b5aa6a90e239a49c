#include <platform/Heartbeats.h>

#include <doctest/doctest.h>

#include <string>
#include <utility>

using namespace chive;

namespace {

HttpRequest heartbeat(std::string body)
{
    return {"POST", "/chiverouter/instances/i-1/heartbeat", {}, makeBody(std::move(body))};
}

const std::string ready = R"({"address":"10.0.0.9:8080","born":1700000000000,"info":{"service":"s",
"version":"v1","zone":"a","slots":251},"status":{"state":"ready","sequence":4,"coldLeftS":0}})";

} // namespace

TEST_CASE("A heartbeat is read into an announcement")
{
    REQUIRE(platform::isAnnouncement(heartbeat(ready)));
    const auto read = platform::readAnnouncement(heartbeat(ready));
    REQUIRE(read.has_value());
    CHECK(read.value().targetId == "i-1");
    CHECK(read.value().endpoint == Endpoint{"10.0.0.9", 8080});
    CHECK(read.value().slots == 251);
    CHECK(read.value().sequence == 4);
    CHECK(read.value().startedAt == 1'700'000'000'000);
    CHECK_FALSE(read.value().isDraining);

    SUBCASE("a departure names only the target")
    {
        const auto departure = platform::readAnnouncement(
                {"POST", "/chiverouter/instances/i-1/deregister", {}, nullptr});
        REQUIRE(departure.has_value());
        CHECK(departure.value().isDeparture);
        CHECK(departure.value().isDraining);
    }
    SUBCASE("what is wrong is named and announces nothing")
    {
        for (const std::string_view field : {"address", "service", "slots", "state", "sequence"}) {
            CAPTURE(field);
            std::string body = ready;
            const std::string name = '"' + std::string(field) + '"';
            body.replace(body.find(name), name.size(), "\"other\"");
            const auto wrong = platform::readAnnouncement(heartbeat(body));
            REQUIRE_FALSE(wrong.has_value());
            CHECK(wrong.error().message.starts_with(field));
        }
        CHECK_FALSE(platform::readAnnouncement(heartbeat(ready.substr(0, 40))).has_value());
    }
}

TEST_CASE("A health check confirms that a target serves")
{
    const auto response = [](int status, std::string id) {
        return HttpResponse{status, {{"X-Chiverouter-Instance-Id", std::move(id)}}, nullptr};
    };
    CHECK(platform::confirmsServing(response(200, "i-1"), "i-1"));
    SUBCASE("not while it leaves or fails")
    {
        CHECK_FALSE(platform::confirmsServing(response(503, "i-1"), "i-1"));
        CHECK_FALSE(platform::confirmsServing(response(429, "i-1"), "i-1"));
    }
    SUBCASE("not for another target at its address")
    {
        CHECK_FALSE(platform::confirmsServing(response(200, "i-2"), "i-1"));
        CHECK_FALSE(platform::confirmsServing({200, {}, nullptr}, "i-1"));
    }
}

TEST_CASE("Announcements are ordered by start and sequence")
{
    Announcement held;
    held.targetId = "i-1";
    held.startedAt = 100;
    held.sequence = 5;
    Announcement next = held;

    next.sequence = 6;
    CHECK(orderOf(held, next) == AnnouncementOrder::Update);
    next.sequence = 5;
    CHECK(orderOf(held, next) == AnnouncementOrder::Stale);
    SUBCASE("another start begins anew, also under the same id")
    {
        next.startedAt = 200;
        next.sequence = 1;
        CHECK(orderOf(held, next) == AnnouncementOrder::NewStart);
    }
    SUBCASE("a late word of an earlier start changes nothing")
    {
        next.targetId = "i-0";
        next.startedAt = 50;
        next.sequence = 99;
        CHECK(orderOf(held, next) == AnnouncementOrder::Stale);
    }
}
