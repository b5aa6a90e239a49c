#include <Demo/DemoReport.h>

#include <LibCore/Identifier.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>

namespace chive {

namespace {

constexpr double recoveredShare = 0.95;
constexpr std::size_t recoveredSeconds = 3;
constexpr std::size_t printedFaults = 10;

} // namespace

void DemoReport::countSent(const DemoCall &call)
{
    ++kinds_[call.kind].sent;
    if (seconds_.size() <= call.second)
        seconds_.resize(call.second + 1);
    ++seconds_[call.second].sent;
}

void DemoReport::countEnd(const DemoCall &call, const HttpClient::Outcome &outcome)
{
    if (!outcome.has_value()) {
        addFault(call, "no whole response: " + outcome.error().message);
        return;
    }
    const HttpResponse &response = outcome.value();
    const std::string execution(findHeader(response.headers, "Chive-Execution"));
    const std::string reason(findHeader(response.headers, "Chive-Reason"));
    if (execution.empty()) {
        addFault(call,
                 "neither an answer nor a refusal, status " + std::to_string(response.status));
        return;
    }
    if (reason.empty()) {
        countAnswer(call, response);
        return;
    }
    ++kinds_[call.kind].refusals[execution + " " + reason];
    if (execution == "not-run")
        notRun_.insert(call.requestId);
}

void DemoReport::countAnswer(const DemoCall &call, const HttpResponse &response)
{
    const std::string_view body = bytesOf(response.body);
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const bool isOwn = json.is_object() && json.value("request_id", "") == call.requestId;
    if (!isOwn || findHeader(response.headers, "Answer-Digest") != digest(body)) {
        addFault(call, "not the whole answer to this request");
        return;
    }
    if (response.status != 200) {
        ++kinds_[call.kind].failedByTarget;
        return;
    }
    ++kinds_[call.kind].good;
    ++seconds_[call.second].good;
}

void DemoReport::judge(const std::vector<RunRecord> &runs)
{
    std::map<std::string, int> runsOfKey;
    for (const RunRecord &run : runs) {
        if (notRun_.contains(run.requestId))
            faults_.push_back(run.requestId + ": refused as not run, but a target began it");
        if (!run.key.empty() && run.kind == "order-confirmation" && ++runsOfKey[run.key] == 2)
            faults_.push_back(run.key + ": ran more than once");
    }
}

int DemoReport::recoverySeconds(std::size_t second) const
{
    std::size_t inARow = 0;
    for (std::size_t at = second; at < seconds_.size(); ++at) {
        const SecondCounts &counts = seconds_[at];
        const bool isGood = static_cast<double>(counts.good)
                            >= recoveredShare * static_cast<double>(counts.sent);
        inARow = isGood ? inARow + 1 : 0;
        if (inARow == recoveredSeconds)
            return static_cast<int>(at + 1 - recoveredSeconds - second);
    }
    return -1;
}

void DemoReport::addFault(const DemoCall &call, const std::string &what)
{
    faults_.push_back(call.kind + " " + call.requestId + ": " + what);
}

void DemoReport::print(std::ostream &stream) const
{
    stream << std::left << std::setw(22) << "KIND" << std::right << std::setw(8) << "SENT"
           << std::setw(8) << "GOOD" << std::setw(9) << "PERCENT" << std::setw(15)
           << "TARGET ERRORS"
           << "  REFUSALS\n";
    for (const auto &[kind, counts] : kinds_) {
        stream << std::left << std::setw(22) << kind << std::right << std::setw(8) << counts.sent
               << std::setw(8) << counts.good << std::setw(8) << counts.good * 100 / counts.sent
               << '%' << std::setw(15) << counts.failedByTarget << "  ";
        for (const auto &[reason, count] : counts.refusals)
            stream << reason << ": " << count << "  ";
        stream << '\n';
    }
    stream << "\nGood requests in each second, of those sent:\n";
    for (std::size_t second = 0; second < seconds_.size(); ++second)
        stream << std::setw(4) << second << " s " << std::setw(6) << seconds_[second].good << " / "
               << seconds_[second].sent << '\n';
    stream << "\nRequests without a whole answer or a truthful refusal: " << faults_.size() << '\n';
    for (std::size_t i = 0; i < std::min(faults_.size(), printedFaults); ++i)
        stream << "  " << faults_[i] << '\n';
}

} // namespace chive
