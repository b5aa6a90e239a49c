#pragma once

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace chive {

/// Leaves this process no free descriptor for as long as it exists.
class NoFreeDescriptor
{
public:
    NoFreeDescriptor()
    {
        REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
        const int lowestFree = open("/dev/null", O_RDONLY);
        REQUIRE(lowestFree >= 0);
        close(lowestFree);
        rlimit limit = before_;
        limit.rlim_cur = static_cast<rlim_t>(lowestFree);
        REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
    }
    ~NoFreeDescriptor() { setrlimit(RLIMIT_NOFILE, &before_); }
    NoFreeDescriptor(const NoFreeDescriptor &) = delete;
    NoFreeDescriptor &operator=(const NoFreeDescriptor &) = delete;

private:
    rlimit before_{};
};

} // namespace chive
