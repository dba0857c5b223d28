/** @file load_record_base.cpp  Collects the results of a run. */
#include "load/load_record_base.h"

#include <utility>

namespace Chestnuthook
{

namespace
{

constexpr std::size_t MaxExamples = 20;
constexpr std::array<const char *, LoadGuaranteeCount> GuaranteeNames{"answers whole and one's own",
    "a resend gets the first answer", "calls in order, history whole", "non-idempotent calls run at most once",
    "\"not run\" is true", "the budget holds"};

} // namespace

std::string loadGuaranteeName(LoadGuarantee guarantee)
{
    return GuaranteeNames.at(static_cast<std::size_t>(guarantee));
}

void LoadRecord::check(LoadGuarantee guarantee, bool held, const std::string &what)
{
    const std::scoped_lock lock(this->mutex);
    this->checks.at(static_cast<std::size_t>(guarantee)) += 1;
    if (!held) {
        this->broken.at(static_cast<std::size_t>(guarantee)) += 1;
        if (this->examples.size() < MaxExamples) {
            this->examples.push_back(loadGuaranteeName(guarantee) + ": " + what);
        }
    }
}

void LoadRecord::addProgram(std::size_t customer, bool finished, double seconds, std::int64_t arrivalMs)
{
    const std::scoped_lock lock(this->mutex);
    this->customers.at(customer).programs += 1;
    if (finished) {
        this->customers.at(customer).finished += 1;
        this->programSeconds.push_back(seconds);
        this->timeline.emplace_back(static_cast<double>(arrivalMs) / 1000, seconds);
    }
}

void LoadRecord::addCall(std::size_t customer, double seconds)
{
    const std::scoped_lock lock(this->mutex);
    this->customers.at(customer).calls += 1;
    this->callSeconds.push_back(seconds);
}

void LoadRecord::addRefusal(std::size_t customer)
{
    const std::scoped_lock lock(this->mutex);
    this->customers.at(customer).refusals += 1;
}

void LoadRecord::addAbandoned(std::size_t customer, const std::string &code)
{
    const std::scoped_lock lock(this->mutex);
    this->customers.at(customer).abandoned += 1;
    this->abandonedCodes[code] += 1;
}

void LoadRecord::addToolCall(SentToolCall tool)
{
    const std::scoped_lock lock(this->mutex);
    this->tools.push_back(std::move(tool));
}

} // namespace Chestnuthook
