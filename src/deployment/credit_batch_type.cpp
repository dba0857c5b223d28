/** @file credit_batch_type.cpp  Sums up credit requests and divides the grants. */
#include "deployment/credit_batch_type.h"

#include <algorithm>
#include <array>

namespace Chestnuthook
{

void CreditBatch::add(const CreditRequests &requests)
{
    this->calls.push_back(requests);
    for (const auto &[name, request] : requests) {
        CreditRequest &sum = this->total[name];
        sum.requests += request.requests;
        sum.ahead += request.ahead;
        sum.late += request.late;
        sum.returned += request.returned;
    }
}

std::vector<CreditGrants> CreditBatch::divide(const CreditGrants &granted) const
{
    CreditGrants left = granted;
    std::vector<CreditGrants> grants(this->calls.size());
    for (const auto wanted : std::to_array({&CreditRequest::requests, &CreditRequest::ahead, &CreditRequest::late})) {
        for (std::size_t i = 0; i < this->calls.size(); ++i) {
            for (const auto &[name, request] : this->calls[i]) {
                const std::uint32_t part = std::min(request.*wanted, left[name]);
                left[name] -= part;
                grants[i][name] += part;
            }
        }
    }
    return grants;
}

} // namespace Chestnuthook
