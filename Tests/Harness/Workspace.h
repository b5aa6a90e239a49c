#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chive {

/// A temporary folder for settings, logs and records. It is removed at the end; after a failed
/// test it stays, and the end of each *.log in it is printed.
class Workspace
{
public:
    Workspace();
    ~Workspace();
    Workspace(const Workspace &) = delete;
    Workspace &operator=(const Workspace &) = delete;

    [[nodiscard]] std::string pathOf(std::string_view name) const;
    /// Writes a file and returns its path.
    [[nodiscard]] std::string write(std::string_view name, std::string_view text) const;

private:
    std::string folder_;
};

/// The seed of this run: CHIVE_TEST_SEED, or 1. Printed at the first call.
[[nodiscard]] std::uint64_t testSeed();

} // namespace chive
