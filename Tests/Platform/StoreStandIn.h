#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/HttpMessage.h>
#include <LibHttp/HttpServer.h>
#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chive {

/// Stands in for the platform's store: keyed topics, a restore from an older copy, and outages in
/// which answers are lost.
class StoreStandIn
{
public:
    using Record = std::pair<std::string, std::string>; ///< Key and value.
    using Topics = std::map<std::string, std::vector<Record>, std::less<>>;

    StoreStandIn(EventLoop &loop, const Endpoint &endpoint);
    ~StoreStandIn();
    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    /// Appends a record as any other writer would.
    void write(std::string_view topic, std::string_view key, std::string_view value);

    [[nodiscard]] Topics copy() const { return topics_; }

    /// What a restore does to the long polls that wait.
    enum class Polls : std::uint8_t {
        Broken, ///< Their connections are closed.
        Kept,   ///< They wait on, at offsets of the new era.
    };

    /// Goes back to the copy and begins a new era.
    void restore(Topics copy, Polls polls);

    /// From now on every answer is lost, and nothing more comes on its connection, also when the
    /// store is back. Long polls that are owed no answer survive.
    void loseAnswers() { losesAnswers_ = true; }
    void returnAnswers() { losesAnswers_ = false; }

    /// The newest value of each key.
    [[nodiscard]] std::map<std::string, std::string> newest(std::string_view topic) const;

    [[nodiscard]] std::size_t calls() const { return calls_; }

private:
    struct Poll
    {
        std::string topic;
        std::uint64_t from = 0;
        bool waits = false;
        std::shared_ptr<HttpExchange> exchange;
    };

    void handle(const HttpRequest &request, std::shared_ptr<HttpExchange> exchange);
    void respond(const std::shared_ptr<HttpExchange> &exchange, int status, std::string body);
    void respondNewest(std::string_view topic, const std::shared_ptr<HttpExchange> &exchange);
    [[nodiscard]] bool answerPoll(const Poll &poll);
    void answerPolls();

    Topics topics_;
    std::uint64_t era_ = 1;
    std::size_t calls_ = 0;
    std::vector<Poll> polls_;
    bool losesAnswers_ = false;
    std::vector<std::shared_ptr<HttpExchange>> unanswered_; ///< Their answers were lost.
    std::unique_ptr<HttpServer> server_;
};

} // namespace chive
