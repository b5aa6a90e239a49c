#include <StandIns/TargetFaults.h>

#include <nlohmann/json.hpp>

namespace chive {

CallHeader callHeaderFromString(std::string_view text)
{
    if (text == "drop")
        return CallHeader::Drop;
    if (text == "forge")
        return CallHeader::Forge;
    if (text == "repeat")
        return CallHeader::Repeat;
    return CallHeader::Copy;
}

void TargetFaults::apply(const nlohmann::json &order)
{
    slowFactor = order.value("slow_factor", slowFactor);
    failStatus = order.value("fail_status", failStatus);
    crashMarker = order.value("crash_marker", crashMarker);
    answersToTruncate = order.value("truncate_answers", answersToTruncate);
    answersToRepeat = order.value("repeat_answers", answersToRepeat);
    answersToSwallow = order.value("swallow_answers", answersToSwallow);
    answersWithoutLength = order.value("answers_without_length", answersWithoutLength);
    answerDelay = Milliseconds(order.value("answer_delay_ms", answerDelay.count()));
    isDraining = order.value("draining", isDraining);
    isAnnouncing = order.value("announcing", isAnnouncing);
    isHealthy = order.value("healthy", isHealthy);
    if (order.contains("reported_load"))
        reportedLoad = order.at("reported_load").get<std::uint32_t>();
    loadLag = Milliseconds(order.value("load_lag_ms", loadLag.count()));
    if (order.contains("call_header"))
        callHeader = callHeaderFromString(order.at("call_header").get<std::string>());
    nestedAttempts = order.value("nested_attempts", nestedAttempts);
}

} // namespace chive
