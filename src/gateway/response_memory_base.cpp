/** @file response_memory_base.cpp  Accounting of held responses and the choice of those that are given up. */
#include "gateway/response_memory_base.h"

#include <algorithm>

namespace Chestnuthook
{

ResponseMemory::Share::Share(ResponseMemory &memory, std::function<void()> release)
    : memory(memory)
    , release(std::move(release))
{
    this->memory.shares.insert(this);
}

ResponseMemory::Share::~Share()
{
    this->restart();
    this->memory.shares.erase(this);
}

bool ResponseMemory::Share::resize(std::size_t heldBytes)
{
    if (!this->givenUp) {
        this->memory.usedBytes = this->memory.usedBytes - this->bytes + heldBytes;
        this->bytes = heldBytes;
        this->memory.giveUpLargest();
    }
    return !this->givenUp;
}

void ResponseMemory::Share::restart()
{
    this->memory.usedBytes -= this->bytes;
    this->bytes = 0;
    this->givenUp = false;
    this->pinned = false;
}

void ResponseMemory::giveUpLargest()
{
    while (this->usedBytes > this->maxBytes) {
        const auto largest =
            std::max_element(this->shares.begin(), this->shares.end(), [](const Share *left, const Share *right) {
                return left->releasableBytes() < right->releasableBytes();
            });
        if (largest == this->shares.end() || (*largest)->releasableBytes() < MinGivenUpBytes) {
            return;
        }
        Share &share = **largest;
        this->usedBytes -= share.bytes;
        share.bytes = 0;
        share.givenUp = true;
        share.release();
    }
}

} // namespace Chestnuthook
