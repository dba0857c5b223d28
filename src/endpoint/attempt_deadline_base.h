/** @file attempt_deadline_base.h  Ends attempts whose time has run out. A socket's own timeouts bound only the pause
 * between two bytes. */
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "core/timer_type.h"
#include "endpoint/attempt_type.h"

namespace Chestnuthook
{

/** Thread-safe. */
class AttemptDeadlines
{
public:
    /** Ends @p token at @p end, within the period of `expire`. */
    void add(Instant end, std::weak_ptr<CancelToken> token)
    {
        const std::lock_guard lock(this->mutex);
        this->tokens.emplace(end.us, std::move(token));
    }

    /** Ends what is due; called by a timer. Tokens of finished calls are ended too, which does nothing. */
    void expire(Instant now)
    {
        std::vector<std::weak_ptr<CancelToken>> due;
        {
            const std::lock_guard lock(this->mutex);
            while (!this->tokens.empty() && this->tokens.begin()->first <= now.us) {
                due.push_back(std::move(this->tokens.begin()->second));
                this->tokens.erase(this->tokens.begin());
            }
        }
        for (const auto &waiting : due) {
            if (const auto token = waiting.lock()) {
                token->expire();
            }
        }
    }

private:
    std::mutex mutex; ///< Guards `tokens`.
    std::multimap<std::int64_t, std::weak_ptr<CancelToken>> tokens; ///< By the end, in microseconds.
};

} // namespace Chestnuthook
