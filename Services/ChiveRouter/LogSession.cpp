#include <ChiveRouter/LogSession.h>

#include <LibNotes/NotesRecord.h>

#include <optional>
#include <utility>

namespace chive {

namespace {

constexpr Milliseconds answerTimeout{5'000};
constexpr std::size_t recordsPerRead = 64;

} // namespace

Result<void> LogSession::readNotes(NotesFold &fold)
{
    std::uint64_t from = fold.state().nextOffset;
    while (true) {
        CHIVE_TRY(page, read(from));
        fold.beginRead(page.first, page.end);
        for (LogRecord &record : page.records) {
            from = record.offset + 1;
            fold.takeRecord(record.offset, std::move(record.payload));
        }
        fold.endRead();
        if (page.records.empty() || from >= page.end)
            return outcome::success();
    }
}

Result<LogPage> LogSession::read(std::uint64_t from)
{
    std::optional<Result<LogPage>> answer;
    client_.read(notesStream, from, recordsPerRead, answerTimeout, [&](Result<LogPage> page) {
        answer = std::move(page);
        loop_.stop();
    });
    loop_.run();
    return std::move(*answer);
}

AppendOutcome LogSession::appendNote(const std::string &payload)
{
    std::optional<AppendOutcome> answer;
    client_.append(notesStream, payload, answerTimeout, [&](AppendOutcome outcome) {
        answer = std::move(outcome);
        loop_.stop();
    });
    loop_.run();
    return std::move(*answer);
}

void LogSession::wait(Milliseconds duration)
{
    const Timer timer = loop_.after(duration, [this] { loop_.stop(); });
    loop_.run();
}

} // namespace chive
