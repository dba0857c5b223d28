/** @file rate_limiter_base.cpp  Credit accounting of one gateway. */
#include "gateway/rate_limiter_base.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chestnuthook
{

double RateLimiter::retryAfterSeconds(const RateLimit &limit)
{
    return limit.ratePerSecond <= 0 ? MinRetryAfterSeconds
                                    : std::clamp(1 / limit.ratePerSecond, MinRetryAfterSeconds, MaxRetryAfterSeconds);
}

std::uint32_t RateLimiter::Account::credit() const
{
    std::uint32_t sum = 0;
    for (const Grant &grant : this->grants) {
        sum += grant.credit;
    }
    return sum;
}

void RateLimiter::recordRequest(Instant now, const RateLimit &limit)
{
    Account &account = this->accounts[limit.name];
    ++account.sampleRequests;
    const Duration elapsed = now - account.sampleStart;
    if (elapsed >= DemandSampleInterval) {
        const double sample = account.sampleRequests / std::chrono::duration<double>(elapsed).count();
        account.demandPerSecond += DemandSampleWeight * (sample - account.demandPerSecond);
        account.sampleRequests = 0;
        account.sampleStart = now;
    }
}

void RateLimiter::dropExpiredCredit(Instant now, Account &account)
{
    std::erase_if(account.grants, [now](const Grant &grant) {
        return now - grant.requestedAt >= CreditTtl || (grant.credit == 0 && grant.lateCredit == 0);
    });
}

bool RateLimiter::takeCredit(Account &account, CreditClass creditClass)
{
    for (Grant &grant : account.grants) {
        std::uint32_t &credit = creditClass == CreditClass::LateNewProgram ? grant.lateCredit : grant.credit;
        if (credit > 0) {
            --credit;
            return true;
        }
    }
    return false;
}

std::uint32_t RateLimiter::takeUnusedCredit(Instant now, Account &account)
{
    std::uint32_t unused = 0;
    std::erase_if(account.grants, [now, &unused](const Grant &grant) {
        const bool isOld = now - grant.requestedAt >= CreditReturnAge;
        unused += isOld ? grant.credit + grant.lateCredit : 0;
        return isOld;
    });
    return unused;
}

bool RateLimiter::takeIsolated(
    Instant now, Account &account, const RateLimit &limit, const RateTolerance &excess, const LeaderState &leader) const
{
    const IsolatedShare share = isolatedShare(limit, excess, this->name, leader.gateways);
    if (leader.contact == LeaderContact::Lost) {
        if (account.shareRefilledAt < leader.lostSince) {
            account.shareTokens = 0;
            account.shareRefilledAt = leader.lostSince;
        }
        const double seconds = std::chrono::duration<double>(now - account.shareRefilledAt).count();
        account.shareTokens = std::min(share.burst, account.shareTokens + seconds * share.ratePerSecond);
        account.shareRefilledAt = now;
        if (account.shareTokens >= 1) {
            account.shareTokens -= 1;
            return true;
        }
    }
    std::erase_if(account.isolatedAdmissions, [&excess, now](Instant time) {
        return now - time > excess.window;
    });
    const bool mayAdmit =
        now - this->startedAt > excess.window && account.isolatedAdmissions.size() < share.requestsPerWindow;
    if (mayAdmit) {
        account.isolatedAdmissions.push_back(now);
    }
    return mayAdmit;
}

CreditDecision RateLimiter::take(
    Instant now, const RateLimit &limit, CreditClass creditClass, const LeaderState &leader, bool &isAsked)
{
    return this->take(now, limit, this->tolerance, creditClass, leader, isAsked);
}

CreditDecision RateLimiter::take(Instant now, const RateLimit &limit, const RateTolerance &excess,
    CreditClass creditClass, const LeaderState &leader, bool &isAsked)
{
    if (limit.ratePerSecond <= 0) {
        return CreditDecision::Admitted;
    }
    Account &account = this->accounts[limit.name];
    dropExpiredCredit(now, account);
    const bool isReachable = leader.contact == LeaderContact::Reachable;
    const bool isRefused =
        account.firstRefusedClass && creditClass >= *account.firstRefusedClass && now - account.refusedAt < RefusalTtl;
    if (isReachable && isRefused && creditClass != CreditClass::Ongoing) {
        return CreditDecision::Refused;
    }
    if (takeCredit(account, creditClass)) {
        return CreditDecision::Admitted;
    }
    if (isReachable) {
        if (isRefused) {
            isAsked = false; // It has been answered.
            return CreditDecision::Refused;
        }
        if (isAsked && (account.requestPending || account.unsentRequests.sum() != 0)) {
            return CreditDecision::AwaitCredit; // Credit that is asked for twice would expire unused.
        }
        isAsked = true;
        switch (creditClass) {
        case CreditClass::Ongoing:
            ++account.unsentRequests.requests;
            break;
        case CreditClass::NewProgram:
            ++account.unsentRequests.ahead;
            break;
        case CreditClass::LateNewProgram:
            ++account.unsentRequests.late;
            break;
        }
        return CreditDecision::AwaitCredit;
    }
    return this->takeIsolated(now, account, limit, excess, leader) ? CreditDecision::AdmittedIsolated
                                                                   : CreditDecision::Refused;
}

std::map<std::string, CreditRequest> RateLimiter::creditRequests(Instant now)
{
    std::map<std::string, CreditRequest> list;
    for (auto &[customer, account] : this->accounts) {
        if (account.requestPending) {
            continue;
        }
        dropExpiredCredit(now, account);
        const double expected = account.demandPerSecond * PrefetchSeconds;
        const auto ahead = expected < MinPrefetchRequests ? 0 : static_cast<std::uint32_t>(std::ceil(expected));
        const bool isLow = account.credit() * 2 < ahead;
        if (account.unsentRequests.sum() == 0 && !isLow) {
            continue;
        }
        CreditRequest wish = std::exchange(account.unsentRequests, {});
        wish.returned = takeUnusedCredit(now, account);
        const std::uint32_t credit = account.credit();
        wish.ahead += ahead > credit ? ahead - credit : 0;
        account.requestPending = true;
        list[customer] = wish;
    }
    return list;
}

void RateLimiter::grant(Instant now, Instant sentAt, const std::map<std::string, CreditRequest> &requested,
    const std::map<std::string, std::uint32_t> &granted)
{
    for (const auto &[customer, wish] : requested) {
        Account &account = this->accounts[customer];
        const auto grantedEntry = granted.find(customer);
        const std::uint32_t grantedCount = grantedEntry == granted.end() ? 0 : grantedEntry->second;
        account.requestPending = false;
        const std::uint32_t lateCount = grantedCount - std::min(grantedCount, wish.requests + wish.ahead);
        account.grants.push_back({grantedCount - lateCount, lateCount, sentAt});
        account.firstRefusedClass.reset();
        if (grantedCount < wish.requests) {
            account.firstRefusedClass = CreditClass::Ongoing;
        } else if (grantedCount < wish.requests + wish.ahead) {
            account.firstRefusedClass = CreditClass::NewProgram;
        } else if (grantedCount < wish.sum()) {
            account.firstRefusedClass = CreditClass::LateNewProgram;
        }
        account.refusedAt = now;
    }
}

void RateLimiter::requestFailed(const std::map<std::string, CreditRequest> &requested)
{
    for (const auto &[customer, wish] : requested) {
        this->accounts[customer].requestPending = false;
    }
}

void RateLimiter::retain(const std::function<bool(const std::string &)> &isUsed)
{
    std::erase_if(this->accounts, [&isUsed](const auto &row) {
        return !isUsed(row.first);
    });
}

} // namespace Chestnuthook
