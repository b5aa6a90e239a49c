#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibHttp/HttpClient.h>
#include <LibKernel/EventLoop.h>
#include <LibNode/Announcement.h>
#include <LibNode/Dialect.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace chive {

class Kernel;

/// Asks a target by its health check whether it serves. The response is newer than the question,
/// unlike an announcement, which may have been under way for seconds.
class TargetCheck
{
public:
    /// `onServing` is called when the target that is asked has confirmed that it serves.
    TargetCheck(Kernel &kernel, std::function<void()> onServing);
    ~TargetCheck();
    TargetCheck(const TargetCheck &) = delete;
    TargetCheck &operator=(const TargetCheck &) = delete;

    /// Asks this target from now on until it confirms, instead of any other.
    void ask(const Announcement &target);

    void stop();

private:
    void send();
    void handleResponse(const HttpClient::Outcome &outcome);

    Kernel &kernel_;
    std::function<void()> onServing_;
    const Dialect &dialect_;
    std::shared_ptr<const Catalogue> catalogue_;
    Announcement target_;
    std::unique_ptr<HttpClient> client_;
    std::uint64_t asked_ = 0; ///< Number of the newest question; responses to others are ignored.
    Timer retryTimer_;
};

} // namespace chive
