#include <Node/TargetCheck.h>

#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <glog/logging.h>

#include <utility>

namespace chive {

namespace {

constexpr Milliseconds responseTimeout{1'000};
constexpr Milliseconds retryInterval{250};
constexpr std::size_t maximumResponseSize = 64 * 1024; // bytes

} // namespace

TargetCheck::TargetCheck(Kernel &kernel, std::function<void()> onServing)
    : kernel_(kernel)
    , onServing_(std::move(onServing))
    , dialect_(dialectOf(kernel.settings()))
    , catalogue_(std::make_shared<const Catalogue>())
{
    kernel.bus().subscribe<CatalogueChanged>(
            [this](const CatalogueChanged &message) { catalogue_ = message.catalogue; });
}

TargetCheck::~TargetCheck() = default;

void TargetCheck::ask(const Announcement &target)
{
    stop();
    target_ = target;
    client_ = std::make_unique<HttpClient>(kernel_.loop(), target.endpoint, maximumResponseSize);
    client_->countIn(kernel_.descriptors().target);
    send();
}

void TargetCheck::stop()
{
    ++asked_;
    retryTimer_.cancel();
    client_.reset();
}

void TargetCheck::send()
{
    const Service *service = findService(*catalogue_, target_.service);
    if (service == nullptr) {
        retryTimer_ = kernel_.loop().after(retryInterval, [this] { send(); });
        return;
    }
    client_->send({"GET", service->healthPath, {}, nullptr}, responseTimeout,
                  [this, number = ++asked_](const HttpClient::Outcome &outcome) {
                      if (number == asked_)
                          handleResponse(outcome);
                  });
}

void TargetCheck::handleResponse(const HttpClient::Outcome &outcome)
{
    if (outcome.has_value() && dialect_.confirmsServing(outcome.value(), target_.targetId)) {
        stop();
        onServing_();
        return;
    }
    LOG_EVERY_N(WARNING, 10) << "task=target event=not-confirmed id=" << target_.targetId
                             << " started_at=" << target_.startedAt
                             << " status=" << (outcome.has_value() ? outcome.value().status : 0)
                             << " error=\"" << (outcome.has_value() ? "" : outcome.error().message)
                             << '"';
    retryTimer_ = kernel_.loop().after(retryInterval, [this] { send(); });
}

} // namespace chive
