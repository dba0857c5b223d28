/** @file attempt_deadline_base.h  Aborts attempts at their deadline. The timeouts of a socket limit only the time
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
    /** Expires @p token at the first call of `expire` after @p deadline. */
    void add(Instant deadline, std::weak_ptr<CancelToken> token)
    {
        const std::lock_guard lock(this->mutex);
        this->tokens.emplace(deadline.us, std::move(token));
    }

    /** Makes a token that expires at the first call of `expire` after @p deadline. */
    [[nodiscard]] std::shared_ptr<CancelToken> makeToken(Instant deadline)
    {
        auto token = std::make_shared<CancelToken>();
        this->add(deadline, token);
        return token;
    }

    /** Expires all tokens whose deadline has passed; called periodically by a timer. Expiring the token of a finished
     * attempt has no effect. */
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
        for (const auto &weakToken : due) {
            if (const auto token = weakToken.lock()) {
                token->expire();
            }
        }
    }

private:
    std::mutex mutex; ///< Guards `tokens`.
    std::multimap<std::int64_t, std::weak_ptr<CancelToken>> tokens; ///< By deadline in microseconds.
};

} // namespace Chestnuthook
