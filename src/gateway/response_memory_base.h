/** @file response_memory_base.h  Limits the memory that all responses held by a gateway take together. Does no I/O. */
#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <utility>

namespace Chestnuthook
{

/** When the limit is exceeded, the largest responses are given up first, so that a response without end costs no other
 * client its response. */
class ResponseMemory
{
public:
    explicit ResponseMemory(std::size_t maxBytes)
        : maxBytes(maxBytes)
    {
    }

    /** Bytes held for a single response. */
    class Share
    {
    public:
        /** @p release frees the bytes at once; it is called from the `resize` of any share of @p memory. */
        Share(ResponseMemory &memory, std::function<void()> release);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /** Records that the response now holds @p heldBytes. @return false if it has been given up. */
        [[nodiscard]] bool resize(std::size_t heldBytes);
        [[nodiscard]] bool isGivenUp() const
        {
            return this->givenUp;
        }
        /** Says that the response is being sent, so that its bytes can't be freed. */
        void pin()
        {
            this->pinned = true;
        }
        /** Begins again for another response, holding nothing. */
        void restart();

    private:
        friend class ResponseMemory;
        ResponseMemory &memory; ///< Must outlive this object.
        std::function<void()> release; ///< See the constructor.
        std::size_t bytes = 0; ///< Bytes held now; 0 once given up.
        bool givenUp = false; ///< The bytes were freed to keep the limit.
        bool pinned = false; ///< See `pin`.

        /** Bytes that would be freed if the response were given up. */
        [[nodiscard]] std::size_t releasableBytes() const
        {
            return this->pinned ? 0 : this->bytes;
        }
    };

private:
    /** Smaller responses are never given up. */
    static constexpr std::size_t MinGivenUpBytes = 64U << 10U;

    void giveUpLargest();

    std::size_t maxBytes; ///< Limit of `usedBytes`.
    std::size_t usedBytes = 0; ///< Sum of all shares.
    std::set<Share *> shares; ///< All shares.
};

} // namespace Chestnuthook
