#pragma once

#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chive {

class HttpClient;
class Kernel;

/// Tells a crash of the target from a broken connection: after a break it connects to the target,
/// and when nobody listens, posts TargetCrashed with all calls that were in flight.
class CrashDetector
{
public:
    explicit CrashDetector(Kernel &kernel);
    ~CrashDetector();
    CrashDetector(const CrashDetector &) = delete;
    CrashDetector &operator=(const CrashDetector &) = delete;

    void noteStarted(const std::string &fingerprint);
    void noteEnded(const std::string &fingerprint);

    /// The connection of a call that had been sent broke, unasked. To be called after noteEnded.
    void noteConnectionLost(const std::string &fingerprint, const Endpoint &target);

private:
    void probe();

    Kernel &kernel_;
    std::multiset<std::string> inFlight_;
    std::vector<std::string> suspects_; ///< In flight when the first connection broke.
    Endpoint target_;
    std::unique_ptr<HttpClient> client_;
    Timer probeTimer_;
};

} // namespace chive
