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

/// Distinguishes a crash of the target from a lost connection. After a connection is lost it probes
/// the target, and if the target does not accept connections, posts TargetCrashed with all calls
/// that were in flight. A probe that lacks a descriptor shows nothing.
class CrashDetector
{
public:
    explicit CrashDetector(Kernel &kernel);
    ~CrashDetector();
    CrashDetector(const CrashDetector &) = delete;
    CrashDetector &operator=(const CrashDetector &) = delete;

    /// Records that a call is sent to the target.
    void noteStarted(const std::string &fingerprint);
    /// Records that a call is no longer in flight, whatever its outcome.
    void noteEnded(const std::string &fingerprint);

    /// Records that the connection of a sent call broke without a cancellation by this node. Call
    /// it after noteEnded().
    void noteConnectionLost(const std::string &fingerprint, const Endpoint &target);

private:
    void probe();

    Kernel &kernel_;
    std::multiset<std::string> inFlight_;
    std::vector<std::string> suspects_; ///< Calls in flight when the first connection was lost.
    Endpoint target_;
    std::unique_ptr<HttpClient> client_;
    Timer probeTimer_;
};

} // namespace chive
