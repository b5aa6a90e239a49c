#include <Harness/Workspace.h>

#include <doctest/doctest.h>

#include <atomic>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace chive {

namespace {

constexpr std::size_t printedLines = 30;

std::atomic<bool> hasFailed = false;

/// Learns of failed checks, so that a workspace knows whether its logs are wanted.
struct FailureListener : doctest::IReporter
{
    explicit FailureListener(const doctest::ContextOptions &) {}
    void report_query(const doctest::QueryData &) override {}
    void test_run_start() override {}
    void test_run_end(const doctest::TestRunStats &) override {}
    void test_case_start(const doctest::TestCaseData &) override { hasFailed = false; }
    void test_case_reenter(const doctest::TestCaseData &) override { hasFailed = false; }
    void test_case_end(const doctest::CurrentTestCaseStats &) override {}
    void test_case_exception(const doctest::TestCaseException &) override { hasFailed = true; }
    void subcase_start(const doctest::SubcaseSignature &) override {}
    void subcase_end() override {}
    void log_assert(const doctest::AssertData &data) override
    {
        if (data.m_failed)
            hasFailed = true;
    }
    void log_message(const doctest::MessageData &) override {}
    void test_case_skipped(const doctest::TestCaseData &) override {}
};

DOCTEST_REGISTER_LISTENER("failures", 1, FailureListener);

void printEnd(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    std::deque<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
        if (lines.size() > printedLines)
            lines.pop_front();
    }
    std::cerr << "---- " << file.filename().string() << '\n';
    for (const std::string &line : lines)
        std::cerr << line << '\n';
}

} // namespace

Workspace::Workspace()
{
    folder_ = (std::filesystem::temp_directory_path() / "chive-test-XXXXXX").string();
    REQUIRE(mkdtemp(folder_.data()) != nullptr);
}

Workspace::~Workspace()
{
    if (!hasFailed) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
        return;
    }
    std::cerr << "The failed test's files stay in " << folder_ << '\n';
    for (const auto &entry : std::filesystem::directory_iterator(folder_)) {
        if (entry.path().extension() == ".log")
            printEnd(entry.path());
    }
}

std::string Workspace::pathOf(std::string_view name) const
{
    return folder_ + "/" + std::string(name);
}

std::string Workspace::write(std::string_view name, std::string_view text) const
{
    const std::string path = pathOf(name);
    std::ofstream(path, std::ios::binary) << text;
    return path;
}

std::uint64_t testSeed()
{
    static const std::uint64_t seed = [] {
        const char *text = std::getenv("CHIVE_TEST_SEED");
        const std::uint64_t value = text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
        std::cout << "seed=" << value << '\n';
        return value;
    }();
    return seed;
}

} // namespace chive
