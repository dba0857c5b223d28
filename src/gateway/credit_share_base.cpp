/** @file credit_share_base.cpp  Credit of one gateway. */
#include "gateway/credit_share_base.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chestnuthook
{

double CreditShare::retryAfterSeconds(const CustomerConfig &customer)
{
    return customer.ratePerSecond <= 0 ? LeastRetrySeconds
                                       : std::clamp(1 / customer.ratePerSecond, LeastRetrySeconds, MostRetrySeconds);
}

void CreditShare::noteDemand(Instant now, Account &account)
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

void CreditShare::dropOldCredit(Instant now, Account &account)
{
    if (now - account.granted > CreditLife) {
        account.credit = 0;
        account.lateCredit = 0;
    }
}

CreditAnswer CreditShare::take(
    Instant now, const CustomerConfig &customer, CreditUse use, bool inTouch, std::size_t gateways)
{
    if (customer.ratePerSecond <= 0) {
        return CreditAnswer::Admitted;
    }
    Account &account = this->accounts[customer.name];
    this->noteDemand(now, account);
    dropOldCredit(now, account);
    const bool isRefused = account.refusedFrom && use >= *account.refusedFrom && now - account.refusedAt < RefusalLife;
    if (inTouch && isRefused && use != CreditUse::Continue) {
        return CreditAnswer::Refused;
    }
    std::uint32_t &credit = use == CreditUse::BeginLate ? account.lateCredit : account.credit;
    if (credit > 0) {
        --credit;
        return CreditAnswer::Admitted;
    }
    if (inTouch) {
        if (isRefused) {
            return CreditAnswer::Refused;
        }
        switch (use) {
        case CreditUse::Continue:
            ++account.waiting.requests;
            break;
        case CreditUse::Begin:
            ++account.waiting.ahead;
            break;
        case CreditUse::BeginLate:
            ++account.waiting.late;
            break;
        }
        return CreditAnswer::Wait;
    }
    const double share = customer.ratePerSecond / static_cast<double>(std::max<std::size_t>(gateways, 1));
    const double most = std::max(1.0, share * IsolatedBurstSeconds);
    const double seconds = std::chrono::duration<double>(now - account.isolatedFilled).count();
    account.isolatedTokens = std::min(most, account.isolatedTokens + seconds * share);
    account.isolatedFilled = now;
    if (account.isolatedTokens < 1) {
        return CreditAnswer::Refused;
    }
    account.isolatedTokens -= 1;
    return CreditAnswer::Admitted;
}

std::map<std::string, CreditRequest> CreditShare::wanted(Instant now)
{
    std::map<std::string, CreditRequest> list;
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
        CreditRequest wish = std::exchange(account.waiting, {});
        wish.ahead += ahead > account.credit ? ahead - account.credit : 0;
        account.asked = true;
        list[name] = wish;
    }
    return list;
}

void CreditShare::grant(
    Instant now, const std::map<std::string, CreditRequest> &asked, const std::map<std::string, std::uint32_t> &granted)
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
            account.refusedFrom = CreditUse::Continue;
        } else if (got < wish.requests + wish.ahead) {
            account.refusedFrom = CreditUse::Begin;
        } else if (got < wish.sum()) {
            account.refusedFrom = CreditUse::BeginLate;
        }
        account.refusedAt = now;
    }
}

void CreditShare::lost(const std::map<std::string, CreditRequest> &asked)
{
    for (const auto &[name, wish] : asked) {
        this->accounts[name].asked = false;
    }
}

} // namespace Chestnuthook
