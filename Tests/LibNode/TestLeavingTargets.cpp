#include <LibNode/TargetRecord.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace chive;

namespace {

constexpr Milliseconds step{50};
constexpr Milliseconds duration{120'000};
constexpr Milliseconds heartbeatInterval{1'500};
constexpr Milliseconds longestDelay{4'000};
constexpr TargetRules rules{Milliseconds(6'000), true};
/// Within this time a target that serves is in use, if neither it nor its node fails meanwhile.
constexpr Milliseconds useLimit{8'000};

/// One start of the target beside the node.
struct Target
{
    enum class State {
        Gone, ///< Not started, crashed or exited.
        Serving,
        Leaving,
    };

    State state = State::Gone;
    Announcement announcement;
    bool isAcknowledged = false; ///< The node has acknowledged that it leaves.
    TimePoint nextHeartbeat;
    TimePoint changeAt; ///< When a leaving target exits, or a gone one starts again.
};

struct Message
{
    TimePoint arrival;
    Announcement announcement;
};

/// A target that starts, crashes, leaves and starts again, often under its id, beside a node that
/// is restarted now and then, on a VM whose clock is stepped. Messages are late by up to 4 s.
class World
{
public:
    explicit World(unsigned seed)
        : random_(seed)
    {
        startTarget();
    }

    void advance()
    {
        now_ += step;
        if (chance(300))
            clockOffset_ = std::uniform_int_distribution<std::int64_t>(-3'000, 3'000)(random_);
        if (chance(300)) {
            record_ = {};
            nodeIsBack_ = now_ + upTo(Milliseconds(3'000));
        }
        advanceTarget();
        deliver();
        check();
        if (isDisturbed())
            calmSince_ = now_;
    }

    /// Whether requests reach a start that was told that its leaving is acknowledged.
    [[nodiscard]] bool usesTargetThatLeft() const { return isUsed() && target_.isAcknowledged; }

    [[nodiscard]] bool neglectsTarget() const { return !isUsed() && now_ - calmSince_ > useLimit; }

private:
    bool chance(unsigned oneIn) { return random_() % oneIn == 0; }

    Milliseconds upTo(Milliseconds most)
    {
        return Milliseconds(std::uniform_int_distribution<std::int64_t>(1, most.count())(random_));
    }

    /// Requests carry the id of the held start, and other targets refuse them.
    [[nodiscard]] bool isUsed() const
    {
        return record_.isPresent && !record_.held->isDraining
               && target_.state != Target::State::Gone
               && record_.held->targetId == target_.announcement.targetId;
    }

    [[nodiscard]] bool isDisturbed() const
    {
        return now_ < nodeIsBack_ || target_.state != Target::State::Serving;
    }

    void startTarget()
    {
        constexpr std::int64_t epoch = 1'700'000'000'000;
        const std::string id = "i-" + std::to_string(random_() % 3);
        target_ = {};
        target_.state = Target::State::Serving;
        target_.announcement.targetId = id;
        target_.announcement.service = "s";
        target_.announcement.slots = 4;
        target_.announcement.startedAt = static_cast<std::uint64_t>(
                epoch + clockOffset_
                + std::chrono::duration_cast<Milliseconds>(now_.time_since_epoch()).count());
        target_.nextHeartbeat = now_ + upTo(heartbeatInterval);
    }

    void advanceTarget()
    {
        if (target_.state == Target::State::Gone) {
            if (now_ >= target_.changeAt)
                startTarget();
            return;
        }
        if (target_.state == Target::State::Leaving && now_ >= target_.changeAt) {
            exitTarget();
            return;
        }
        if (target_.state == Target::State::Serving && chance(1'000)) {
            exitTarget();
            return;
        }
        if (target_.state == Target::State::Serving && chance(200))
            beginToLeave();
        if (now_ >= target_.nextHeartbeat) {
            target_.nextHeartbeat = now_ + heartbeatInterval;
            ++target_.announcement.sequence;
            send(target_.announcement);
        }
    }

    void exitTarget()
    {
        target_.state = Target::State::Gone;
        target_.changeAt = now_ + upTo(Milliseconds(3'000));
    }

    /// Either drains first, or deregisters at once and sends no more heartbeats.
    void beginToLeave()
    {
        target_.state = Target::State::Leaving;
        target_.changeAt = now_ + Milliseconds(2'500) + upTo(Milliseconds(5'000));
        if (chance(2)) {
            target_.announcement.isDraining = true;
            target_.nextHeartbeat = now_;
            return;
        }
        target_.nextHeartbeat = target_.changeAt;
        if (now_ < nodeIsBack_)
            return;
        applyDeparture(record_, target_.announcement.targetId);
        target_.isAcknowledged = true;
    }

    /// Draining announcements arrive at once, as the target waits for their acknowledgement; others
    /// may be late.
    void send(const Announcement &announcement)
    {
        const bool isLate = !announcement.isDraining && chance(3);
        messages_.push_back({now_ + (isLate ? upTo(longestDelay) : Milliseconds(0)), announcement});
    }

    void deliver()
    {
        std::vector<Message> arrived;
        std::erase_if(messages_, [&](const Message &message) {
            if (message.arrival > now_)
                return false;
            arrived.push_back(message);
            return true;
        });
        std::ranges::shuffle(arrived, random_);
        for (const Message &message : arrived) {
            if (now_ < nodeIsBack_)
                continue;
            const auto effect = applyAnnouncement(record_, message.announcement, rules, now_);
            const bool isOfTarget
                    = message.announcement.startedAt == target_.announcement.startedAt
                      && message.announcement.targetId == target_.announcement.targetId;
            if (message.announcement.isDraining && isOfTarget
                && effect != AnnouncementEffect::Rejected)
                target_.isAcknowledged = true;
        }
    }

    /// The node's health check, and its look at the leases.
    void check()
    {
        if (now_ < nodeIsBack_)
            return;
        if (record_.candidate && target_.state == Target::State::Serving
            && record_.candidate->announcement.targetId == target_.announcement.targetId)
            confirmCandidate(record_);
        endLeases(record_, rules, now_, chance(2));
    }

    std::mt19937 random_;
    TimePoint now_{std::chrono::hours(1)};
    TimePoint nodeIsBack_{now_};
    TimePoint calmSince_{now_};
    std::int64_t clockOffset_ = 0; // ms
    Target target_;
    TargetRecord record_;
    std::vector<Message> messages_;
};

} // namespace

TEST_CASE("Late heartbeats, restarts and steps of the clock bring back a target that has left")
{
    constexpr unsigned seeds = 300;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        World world(seed);
        for (Milliseconds time{0}; time < duration; time += step) {
            CAPTURE(time.count());
            world.advance();
            REQUIRE_FALSE(world.usesTargetThatLeft());
            REQUIRE_FALSE(world.neglectsTarget());
        }
    }
}
