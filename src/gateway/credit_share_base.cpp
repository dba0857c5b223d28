/** @file credit_share_base.cpp  Credit of one gateway. */
#include "gateway/credit_share_base.h"

#include <algorithm>
#include <cmath>

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

CreditAnswer CreditShare::take(Instant now, const CustomerRule &customer, bool inTouch, std::size_t gateways)
{
    if (customer.ratePerSecond <= 0) {
        return CreditAnswer::Admitted;
    }
    Account &account = this->accounts[customer.name];
    this->noteDemand(now, account);
    if (now - account.granted > CreditLife) {
        account.credit = 0;
    }
    if (account.credit > 0) {
        --account.credit;
        return CreditAnswer::Admitted;
    }
    if (inTouch) {
        if (account.refused && now - account.refusedAt < RefusalLife) {
            return CreditAnswer::Refused;
        }
        ++account.waiting;
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

std::map<std::string, std::uint32_t> CreditShare::wanted(Instant now)
{
    std::map<std::string, std::uint32_t> list;
    for (auto &[name, account] : this->accounts) {
        if (now - account.granted > CreditLife) {
            account.credit = 0;
        }
        const auto ahead = static_cast<std::uint32_t>(std::ceil(account.perSecond * AheadSeconds));
        const std::uint32_t target = account.waiting + ahead;
        const std::uint32_t held = account.credit + account.asked;
        const bool isLow = account.waiting > 0 || held * 2 < ahead;
        if (account.asked == 0 && isLow && target > held) {
            account.asked = target - held;
            account.waiting = 0;
            list[name] = account.asked;
        }
    }
    return list;
}

void CreditShare::grant(
    Instant now, const std::map<std::string, std::uint32_t> &asked, const std::map<std::string, std::uint32_t> &granted)
{
    for (const auto &[name, requests] : asked) {
        Account &account = this->accounts[name];
        const auto entry = granted.find(name);
        const std::uint32_t got = entry == granted.end() ? 0 : entry->second;
        account.asked = 0;
        account.credit += got;
        account.granted = now;
        account.refused = got < requests;
        account.refusedAt = now;
    }
}

void CreditShare::lost(const std::map<std::string, std::uint32_t> &asked)
{
    for (const auto &[name, requests] : asked) {
        this->accounts[name].asked = 0;
    }
}

} // namespace Chestnuthook
