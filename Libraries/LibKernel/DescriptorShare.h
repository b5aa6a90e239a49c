#pragma once

#include <cstddef>
#include <cstdint>
#include <system_error>
#include <utility>

namespace chive {

/// Whether a system call failed since the process or the system has no descriptor left.
[[nodiscard]] inline bool isWantOfDescriptors(const std::error_code &error)
{
    return error == std::errc::too_many_files_open
           || error == std::errc::too_many_files_open_in_system;
}

/// The descriptors that one use may hold at most, and how many it holds.
class DescriptorShare
{
public:
    explicit DescriptorShare(std::size_t most)
        : most_(most)
    {}
    DescriptorShare(const DescriptorShare &) = delete;
    DescriptorShare &operator=(const DescriptorShare &) = delete;

    [[nodiscard]] std::size_t most() const { return most_; }
    [[nodiscard]] std::size_t used() const { return used_; }
    [[nodiscard]] bool isFull() const { return used_ >= most_; }

    /// Idle connections are closed once the share is short, until it has enough.
    [[nodiscard]] bool isShort() const { return used_ >= most_ - most_ / shortDivisor; }
    [[nodiscard]] bool hasEnough() const
    {
        return used_ <= most_ - (most_ + enoughDivisor - 1) / enoughDivisor;
    }

    /// Of those in use, connections on which nothing is owed, as their owner last counted them.
    void setIdle(std::size_t idle) { idle_ = idle; }
    [[nodiscard]] std::size_t idle() const { return idle_; }

    /// A connection was not opened or not accepted, as no descriptor was left.
    void noteRefused() { ++refused_; }
    [[nodiscard]] std::uint64_t refused() const { return refused_; }

    /// An idle connection was closed to make room.
    void noteReclaimed() { ++reclaimed_; }
    [[nodiscard]] std::uint64_t reclaimed() const { return reclaimed_; }

private:
    friend class DescriptorLease;

    /// The parts of the share that are free at least while it is not short, and once it has enough.
    static constexpr std::size_t shortDivisor = 8;
    static constexpr std::size_t enoughDivisor = 4;

    std::size_t most_;
    std::size_t used_ = 0;
    std::size_t idle_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t reclaimed_ = 0;
};

/// One descriptor of a share, from its construction to its end. It does not check whether the share
/// is full, since an accepted connection has its descriptor already. The share must outlive it.
class DescriptorLease
{
public:
    DescriptorLease() = default;
    explicit DescriptorLease(DescriptorShare &share)
        : share_(&share)
    {
        ++share.used_;
    }
    ~DescriptorLease() { release(); }
    DescriptorLease(DescriptorLease &&other) noexcept
        : share_(std::exchange(other.share_, nullptr))
    {}
    DescriptorLease &operator=(DescriptorLease &&other) noexcept
    {
        if (this != &other) {
            release();
            share_ = std::exchange(other.share_, nullptr);
        }
        return *this;
    }

private:
    void release()
    {
        if (share_ != nullptr)
            --share_->used_;
    }

    DescriptorShare *share_ = nullptr;
};

} // namespace chive
