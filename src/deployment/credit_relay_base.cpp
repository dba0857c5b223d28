/** @file credit_relay_base.cpp  Batches of credit requests to the leader. */
#include "deployment/credit_relay_base.h"

#include <memory>
#include <utility>

#include "rpc/message_func.h"

namespace Chestnuthook
{

CreditRelay::CreditRelay(ControlLoop &loop, LeaderCall callLeader)
    : loop(loop)
    , callLeader(std::move(callLeader))
{
}

kj::Promise<BoxedGrants> CreditRelay::request(const CreditRequests &requests)
{
    auto pair = kj::newPromiseAndFulfiller<BoxedGrants>();
    this->waiting.add(requests);
    this->waitingFulfillers.push_back(kj::mv(pair.fulfiller));
    this->sendBatch();
    return kj::mv(pair.promise);
}

void CreditRelay::sendBatch()
{
    if (this->isCalling || this->waiting.isEmpty()) {
        return;
    }
    this->isCalling = true;
    const Instant start = this->loop.timers().now();
    auto batch = std::make_shared<CreditBatch>(std::exchange(this->waiting, {}));
    auto fulfillers = std::make_shared<std::vector<Fulfiller>>(std::exchange(this->waitingFulfillers, {}));
    auto called = kj::evalNow([&]() {
        return this->callLeader(batch->sum());
    });
    this->loop.detach(called
                          .then(
                              [batch, fulfillers](BoxedGrants &&granted) {
                                  std::vector<CreditGrants> grants = batch->divide(*granted);
                                  for (std::size_t i = 0; i < grants.size(); ++i) {
                                      (*fulfillers)[i]->fulfill(std::make_unique<CreditGrants>(std::move(grants[i])));
                                  }
                              },
                              [fulfillers](kj::Exception &&exception) {
                                  for (Fulfiller &fulfiller : *fulfillers) {
                                      fulfiller->reject(kj::cp(exception));
                                  }
                              })
                          .then([this, start]() {
                              const Instant now = this->loop.timers().now();
                              const Duration left = start + leaderCallInterval(now - start, this->relayCount) - now;
                              return this->loop.kjTimer().afterDelay(kjDuration(std::max(left, Duration(0))));
                          })
                          .then([this]() {
                              this->isCalling = false;
                              this->sendBatch();
                          }));
}

} // namespace Chestnuthook
