/** @file fake_ledger_base.cpp  Ledger of a fake server. */
#include "fakes/fake_ledger_base.h"

#include <algorithm>
#include <array>

#include <Poco/JSON/Array.h>

namespace Chestnuthook
{

namespace
{

constexpr std::array<std::string_view, 5> OutcomeNames{"running", "ok", "cancelled", "fault", "refused"};

Poco::JSON::Object::Ptr entryJson(const FakeLedgerEntry &entry)
{
    Poco::JSON::Object::Ptr headers = new Poco::JSON::Object;
    for (const auto &[name, value] : entry.headers) {
        headers->set(name, headers->has(name) ? headers->getValue<std::string>(name) + ", " + value : value);
    }
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("attempt", entry.attempt);
    json->set("program", entry.program);
    json->set("method", entry.method);
    json->set("path", entry.path);
    json->set("query", entry.query);
    json->set("headers", headers);
    json->set("body_digest", entry.bodyDigest);
    json->set("note", entry.note);
    json->set("start_ms", entry.startMs);
    json->set("end_ms", entry.endMs);
    json->set("outcome", std::string(fakeOutcomeName(entry.outcome)));
    return json;
}

} // namespace

std::string_view fakeOutcomeName(FakeOutcome outcome)
{
    return OutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::size_t FakeLedger::begin(FakeLedgerEntry entry)
{
    const std::scoped_lock lock(this->mutex);
    this->entries.push_back(std::move(entry));
    if (this->entries.size() > MaxEntries) {
        this->entries.pop_front();
        this->dropped += 1;
    }
    return this->dropped + this->entries.size() - 1;
}

void FakeLedger::end(std::size_t number, FakeOutcome outcome, const std::string &note, std::int64_t endMs)
{
    const std::scoped_lock lock(this->mutex);
    if (number < this->dropped) {
        return;
    }
    FakeLedgerEntry &entry = this->entries.at(number - this->dropped);
    entry.outcome = outcome;
    entry.note = note;
    entry.endMs = endMs;
}

std::string FakeLedger::otherAttempt(const std::string &attempt) const
{
    const std::scoped_lock lock(this->mutex);
    const auto found =
        std::find_if(this->entries.rbegin(), this->entries.rend(), [&attempt](const FakeLedgerEntry &entry) {
            return !entry.attempt.empty() && entry.attempt != attempt;
        });
    return found == this->entries.rend() ? "crossed-" + attempt : found->attempt;
}

Poco::JSON::Object::Ptr FakeLedger::toJson() const
{
    Poco::JSON::Array::Ptr requests = new Poco::JSON::Array;
    const std::scoped_lock lock(this->mutex);
    for (const FakeLedgerEntry &entry : this->entries) {
        requests->add(entryJson(entry));
    }
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("requests", requests);
    json->set("dropped", static_cast<std::uint64_t>(this->dropped));
    return json;
}

} // namespace Chestnuthook
