/** @file credit_share_base.cpp  Credit of one gateway. */
#include "gateway/credit_share_base.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chestnuthook
{

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

CreditAnswer CreditShare::take(
    Instant now, const CustomerRule &customer, bool isNewProgram, bool inTouch, std::size_t gateways)
{
    if (customer.ratePerSecond <= 0) {
        return CreditAnswer::Admitted;
    }
    Account &account = this->accounts[customer.name];
    this->noteDemand(now, account);
    if (now - account.granted > CreditLife) {
        account.credit = 0;
    }
    const bool isFresh = now - account.refusedAt < RefusalLife;
    if (inTouch && isNewProgram && account.scarce && isFresh) {
        return CreditAnswer::Refused;
    }
    if (account.credit > 0) {
        --account.credit;
        return CreditAnswer::Admitted;
    }
    if (inTouch) {
        if (account.refused && isFresh) {
            return CreditAnswer::Refused;
        }
        ++(isNewProgram ? account.waiting.ahead : account.waiting.requests);
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

std::map<std::string, CreditWish> CreditShare::wanted(Instant now)
{
    std::map<std::string, CreditWish> list;
    for (auto &[name, account] : this->accounts) {
        if (account.asked) {
            continue;
        }
        if (now - account.granted > CreditLife) {
            account.credit = 0;
        }
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

void CreditShare::grant(
    Instant now, const std::map<std::string, CreditWish> &asked, const std::map<std::string, std::uint32_t> &granted)
{
    for (const auto &[name, wish] : asked) {
        Account &account = this->accounts[name];
        const auto entry = granted.find(name);
        const std::uint32_t got = entry == granted.end() ? 0 : entry->second;
        account.asked = false;
        account.credit += got;
        account.granted = now;
        account.scarce = got < wish.sum();
        account.refused = wish.requests > 0 && got < wish.requests;
        account.refusedAt = now;
    }
}

void CreditShare::lost(const std::map<std::string, CreditWish> &asked)
{
    for (const auto &[name, wish] : asked) {
        this->accounts[name].asked = false;
    }
}

} // namespace Chestnuthook
