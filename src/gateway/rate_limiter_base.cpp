/** @file rate_limiter_base.cpp  Credit of one gateway. */
#include "gateway/rate_limiter_base.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chestnuthook
{

double RateLimiter::retryAfterSeconds(const CustomerRule &customer)
{
    return customer.ratePerSecond <= 0 ? LeastRetrySeconds
                                       : std::clamp(1 / customer.ratePerSecond, LeastRetrySeconds, MostRetrySeconds);
}

void RateLimiter::noteDemand(Instant now, Account &account)
{
    ++account.seen;
    const Duration since = now - account.seenFrom;
    if (since >= DemandPeriod) {
        const double sample = account.seen / std::chrono::duration<double>(since).count();
        account.perSecond += DemandWeight * (sample - account.perSecond);
        account.seen = 0;
        account.seenFrom = now;
    }
}

void RateLimiter::dropOldCredit(Instant now, Account &account)
{
    if (now - account.granted > CreditLife) {
        account.credit = 0;
        account.lateCredit = 0;
    }
}

CreditDecision RateLimiter::take(
    Instant now, const CustomerRule &customer, CreditClass use, bool inTouch, std::size_t gateways)
{
    if (customer.ratePerSecond <= 0) {
        return CreditDecision::Admitted;
    }
    Account &account = this->accounts[customer.name];
    this->noteDemand(now, account);
    dropOldCredit(now, account);
    const bool isRefused = account.refusedFrom && use >= *account.refusedFrom && now - account.refusedAt < RefusalLife;
    if (inTouch && isRefused && use != CreditClass::Ongoing) {
        return CreditDecision::Refused;
    }
    std::uint32_t &credit = use == CreditClass::LateNewProgram ? account.lateCredit : account.credit;
    if (credit > 0) {
        --credit;
        return CreditDecision::Admitted;
    }
    if (inTouch) {
        if (isRefused) {
            return CreditDecision::Refused;
        }
        switch (use) {
        case CreditClass::Ongoing:
            ++account.waiting.requests;
            break;
        case CreditClass::NewProgram:
            ++account.waiting.ahead;
            break;
        case CreditClass::LateNewProgram:
            ++account.waiting.late;
            break;
        }
        return CreditDecision::AwaitCredit;
    }
    const double share = customer.ratePerSecond / static_cast<double>(std::max<std::size_t>(gateways, 1));
    const double most = std::max(1.0, share * IsolatedBurstSeconds);
    const double seconds = std::chrono::duration<double>(now - account.isolatedFilled).count();
    account.isolatedTokens = std::min(most, account.isolatedTokens + seconds * share);
    account.isolatedFilled = now;
    if (account.isolatedTokens < 1) {
        return CreditDecision::Refused;
    }
    account.isolatedTokens -= 1;
    return CreditDecision::Admitted;
}

std::map<std::string, CreditWish> RateLimiter::creditRequests(Instant now)
{
    std::map<std::string, CreditWish> list;
    for (auto &[name, account] : this->accounts) {
        if (account.asked) {
            continue;
        }
        dropOldCredit(now, account);
        const double expected = account.perSecond * AheadSeconds;
        const auto ahead = expected < LeastExpected ? 0 : static_cast<std::uint32_t>(std::ceil(expected));
        const bool isLow = account.credit * 2 < ahead;
        if (account.waiting.sum() == 0 && !isLow) {
            continue;
        }
        CreditWish wish = std::exchange(account.waiting, {});
        wish.ahead += ahead > account.credit ? ahead - account.credit : 0;
        account.asked = true;
        list[name] = wish;
    }
    return list;
}

void RateLimiter::grant(
    Instant now, const std::map<std::string, CreditWish> &asked, const std::map<std::string, std::uint32_t> &granted)
{
    for (const auto &[name, wish] : asked) {
        Account &account = this->accounts[name];
        const auto entry = granted.find(name);
        const std::uint32_t got = entry == granted.end() ? 0 : entry->second;
        account.asked = false;
        const std::uint32_t forLate = got - std::min(got, wish.requests + wish.ahead);
        account.credit += got - forLate;
        account.lateCredit += forLate;
        account.granted = now;
        account.refusedFrom.reset();
        if (got < wish.requests) {
            account.refusedFrom = CreditClass::Ongoing;
        } else if (got < wish.requests + wish.ahead) {
            account.refusedFrom = CreditClass::NewProgram;
        } else if (got < wish.sum()) {
            account.refusedFrom = CreditClass::LateNewProgram;
        }
        account.refusedAt = now;
    }
}

void RateLimiter::lost(const std::map<std::string, CreditWish> &asked)
{
    for (const auto &[name, wish] : asked) {
        this->accounts[name].asked = false;
    }
}

} // namespace Chestnuthook
