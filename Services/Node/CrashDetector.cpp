#include <Node/CrashDetector.h>

#include <LibHttp/HttpClient.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <glog/logging.h>

#include <utility>

namespace chive {

namespace {

/// The connections of an exiting process close one after the other, so the probe waits for the
/// last.
constexpr Milliseconds probeDelay{20};
constexpr Milliseconds probeTimeout{500};
constexpr std::size_t maximumProbeBodySize = 64 * 1024;

} // namespace

CrashDetector::CrashDetector(Kernel &kernel)
    : kernel_(kernel)
{}

CrashDetector::~CrashDetector() = default;

void CrashDetector::noteStarted(const std::string &fingerprint)
{
    inFlight_.insert(fingerprint);
}

void CrashDetector::noteEnded(const std::string &fingerprint)
{
    const auto found = inFlight_.find(fingerprint);
    if (found != inFlight_.end())
        inFlight_.erase(found);
}

void CrashDetector::noteConnectionLost(const std::string &fingerprint, const Endpoint &target)
{
    if (!suspects_.empty())
        return;
    suspects_.assign(inFlight_.begin(), inFlight_.end());
    suspects_.push_back(fingerprint);
    target_ = target;
    probeTimer_ = kernel_.loop().after(probeDelay, [this] { probe(); });
}

void CrashDetector::probe()
{
    client_ = std::make_unique<HttpClient>(kernel_.loop(), target_, maximumProbeBodySize);
    client_->countIn(kernel_.descriptors().target);
    client_->send({"GET", "/health", {}, nullptr}, probeTimeout,
                  [this](const HttpClient::Outcome &outcome) {
                      auto suspects = std::exchange(suspects_, {});
                      const bool isNotListening
                              = !outcome.has_value()
                                && outcome.error().stage == HttpFailure::Stage::NotSent
                                && !outcome.error().lacksDescriptor;
                      if (!isNotListening)
                          return;
                      LOG(WARNING) << "task=target event=crashed in_flight=" << suspects.size();
                      kernel_.bus().post(TargetCrashed{std::move(suspects)});
                  });
}

} // namespace chive
