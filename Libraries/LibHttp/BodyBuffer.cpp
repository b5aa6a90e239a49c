#include <LibHttp/BodyBuffer.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t blockSize = 64 * 1024; // bytes

} // namespace

void BodyBuffer::append(std::string_view bytes)
{
    size_ += bytes.size();
    while (!bytes.empty()) {
        if (blocks_.empty() || blocks_.back().size() == blockSize) {
            // Most bodies are smaller than a block, so the first one grows on demand.
            const bool isFirst = blocks_.empty();
            blocks_.emplace_back();
            if (!isFirst)
                blocks_.back().reserve(blockSize);
        }
        std::string &last = blocks_.back();
        const std::size_t taken = std::min(bytes.size(), blockSize - last.size());
        last.append(bytes.substr(0, taken));
        bytes.remove_prefix(taken);
    }
}

void BodyBuffer::clear()
{
    blocks_.clear();
    size_ = 0;
}

std::size_t BodyBuffer::bytesHeld() const
{
    if (blocks_.empty())
        return 0;
    return (blocks_.size() - 1) * blockSize + blocks_.back().capacity();
}

std::string BodyBuffer::take()
{
    size_ = 0;
    std::deque<std::string> blocks = std::exchange(blocks_, {});
    if (blocks.empty())
        return {};
    if (blocks.size() == 1)
        return std::move(blocks.front());
    std::string body;
    body.reserve((blocks.size() - 1) * blockSize + blocks.back().size());
    // Each block is freed before the next one is copied.
    for (; !blocks.empty(); blocks.pop_front())
        body.append(blocks.front());
    return body;
}

} // namespace chive
