#include <Demo/Demo.h>

#include <LibCore/Identifier.h>

#include <array>
#include <chrono>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumBodySize = 8 * 1024 * 1024;
constexpr Milliseconds tickInterval{10};
constexpr Milliseconds answerTimeout{30'000};
/// Requests that still have no answer this long after the last one was sent count as faults.
constexpr std::size_t lastAnswersSeconds = 30;

constexpr std::array<DemoKind, 4> kinds{{
        {"catalogue-browse", "GET", "/catalogue/books/", "", 0, 40, 200},
        {"order-confirmation", "POST", "/print-orders/orders/", "", 200, 8, 8},
        {"artwork-upload", "PUT", "/artwork-intake/artwork/", "?service_ms=300", 256 * 1024, 3, 6},
        {"proof-status-check", "GET", "/proof-status/proofs/", "", 0, 20, 20},
}};

constexpr const char *slowOrder = R"({"slow_factor": 10})";
constexpr const char *relieveOrder = R"({"slow_factor": 1})";
constexpr const char *crashOrder = R"({"crash_marker": "demo-crash"})";

} // namespace

Demo::Demo(EventLoop &loop, const Clock &clock, const std::vector<Endpoint> &callers,
           const std::vector<Endpoint> &targets, std::uint64_t seed)
    : loop_(loop)
    , clock_(clock)
    , random_(seed)
    , due_(kinds.size(), 0.0)
{
    for (const Endpoint &endpoint : callers) {
        nodes_.push_back(std::make_unique<HttpClient>(loop, endpoint, maximumBodySize));
        nodes_.back()->trustServer();
    }
    for (const Endpoint &endpoint : targets)
        targets_.push_back(std::make_unique<HttpClient>(loop, endpoint, maximumBodySize));
}

void Demo::run()
{
    start_ = clock_.now();
    lastTick_ = start_;
    const Timer timer = loop_.every(tickInterval, [this] { tick(); });
    loop_.run();
}

void Demo::tick()
{
    const auto elapsed = clock_.now() - start_;
    second_ = std::chrono::duration_cast<std::chrono::seconds>(elapsed).count();
    if (second_ >= times_.end) {
        if (inFlight_ == 0 || second_ >= times_.end + lastAnswersSeconds)
            loop_.stop();
        return;
    }
    runEvents();
    for (std::size_t index = 0; index < kinds.size(); ++index)
        sendDue(index);
    lastTick_ = clock_.now();
}

void Demo::runEvents()
{
    if (second_ >= times_.overloadBegins && !std::exchange(hasOverloaded_, true)) {
        for (const auto &target : targets_)
            control(*target, slowOrder);
    }
    if (second_ >= times_.overloadEnds && !std::exchange(hasRelieved_, true)) {
        for (const auto &target : targets_)
            control(*target, relieveOrder);
    }
    if (second_ >= times_.targetDies && !std::exchange(hasKilled_, true)) {
        HttpClient &victim = *targets_.back();
        control(victim, crashOrder);
        victim.send({"GET", "/demo-crash", {}, nullptr}, answerTimeout, [](const auto &) {});
    }
}

bool Demo::isOverloaded() const
{
    return second_ >= times_.overloadBegins && second_ < times_.overloadEnds;
}

void Demo::sendDue(std::size_t kindIndex)
{
    const DemoKind &kind = kinds.at(kindIndex);
    const std::uint32_t rate = isOverloaded() ? kind.surgeRate : kind.rate;
    const std::chrono::duration<double> step = clock_.now() - lastTick_;
    double &due = due_[kindIndex];
    for (due += rate * step.count(); due >= 1; due -= 1)
        send(kind);
}

void Demo::send(const DemoKind &kind)
{
    const DemoCall call{std::string(kind.name), randomIdentifier(), second_};
    HttpRequest request;
    request.method = kind.method;
    request.target = std::string(kind.path) + std::to_string(++sent_) + std::string(kind.query);
    request.headers = {{"Chive-Request-Id", call.requestId}};
    if (kind.bodySize > 0) {
        request.headers.emplace_back("Idempotency-Key", "demo-" + std::to_string(sent_));
        request.body = makeBody(std::string(kind.bodySize, 'a'));
    }
    report_.countSent(call);
    ++inFlight_;
    std::uniform_int_distribution<std::size_t> any(0, nodes_.size() - 1);
    nodes_[any(random_)]->send(request, answerTimeout,
                               [this, call](const HttpClient::Outcome &outcome) {
                                   --inFlight_;
                                   report_.countEnd(call, outcome);
                               });
}

void Demo::control(HttpClient &target, std::string order)
{
    target.send({"POST", "/control", {}, makeBody(std::move(order))}, answerTimeout,
                [](const auto &) {});
}

} // namespace chive
