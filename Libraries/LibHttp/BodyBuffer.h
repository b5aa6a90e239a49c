#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace chive {

/// A body that is being received, in blocks. A string that grows by doubling would take up to three
/// times the body's size while it grows.
class BodyBuffer
{
public:
    void append(std::string_view bytes);
    void clear();

    /// Bytes of the body.
    [[nodiscard]] std::size_t size() const { return size_; }

    /// Bytes of memory that the blocks take.
    [[nodiscard]] std::size_t bytesHeld() const;

    /// The whole body; the buffer is empty afterwards.
    [[nodiscard]] std::string take();

private:
    std::deque<std::string> blocks_; ///< All but the last one are full.
    std::size_t size_ = 0;
};

} // namespace chive
