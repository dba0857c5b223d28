/** @file program_runtime_call.cpp  Calls of programs: accepts them in order, charges their budget, and commits their
 * results. */
#include <algorithm>
#include <utility>

#include "core/hash_func.h"
#include "entry/program_command_internal.h"
#include "entry/program_runtime_base.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t IdBytes = 12;
constexpr unsigned MaxEndAttempts = 50;
constexpr auto EndRetryDelay = 300 * kj::MILLISECONDS;

/** Engines add special tokens around each message. */
constexpr std::uint64_t MessageOverheadTokens = 8;

/** A reserved block covers about CallsPerBlock calls and at most 1 / MaxBlockDivisor of the remaining budget, as the
 * entry loses unused tokens of the block if it crashes. */
constexpr std::uint64_t CallsPerBlock = 4;
constexpr std::uint64_t MaxBlockDivisor = 8;

/** Time after the deadline of a call in which its result can still be journaled, in milliseconds. */
constexpr std::int64_t ResultGraceMs = 1000;

/** Tokens of the history: those of the largest call, as the prompt of each model call includes all calls before it. */
std::uint64_t historyTokens(const ProgramRecord &program)
{
    std::uint64_t tokens = 0;
    for (const CallRecord &call : program.calls) {
        tokens = std::max(tokens, call.tokens);
    }
    return tokens;
}

bool isRetryable(const Error &error)
{
    return error.kind == ErrorKind::NoQuorum || error.kind == ErrorKind::NotLeader
        || error.kind == ErrorKind::StaleEpoch || error.kind == ErrorKind::NotReady;
}

Error unknownOutcome(std::int64_t retryAfterMs)
{
    return Error{ErrorKind::OutcomeUnknown, "its result may still arrive", Ran::Unknown, retryAfterMs};
}

} // namespace

std::vector<ChatMessage> historyOf(const ProgramRecord &program)
{
    std::vector<ChatMessage> history;
    for (const CallRecord &call : program.calls) {
        const Result<CallRequest> request = parseCall(call.request);
        if (!request || request->kind != CallKind::Model || call.failure) {
            continue;
        }
        history.insert(history.end(), request->messages.begin(), request->messages.end());
        history.push_back(ChatMessage{"assistant", call.answer});
    }
    return history;
}

std::uint64_t ProgramRuntime::unusedReservation(const ProgramId &program) const
{
    const auto found = this->reservedTokens.find(program);
    return found == this->reservedTokens.end() ? 0 : found->second;
}

Result<CallStart> ProgramRuntime::checkExistingCall(
    const ProgramRecord &program, const CallRecord *known, CallNumber number, const CallRequest &request) const
{
    const auto current = this->running.find(program.id);
    const bool runs = current != this->running.end() && current->second.number == number;
    if ((known != nullptr ? known->digest : current->second.digest) != request.digest) {
        return fail(
            ErrorKind::Conflict, "call " + std::to_string(number.value) + " was made before with different content");
    }
    CallStart start;
    if (known != nullptr && known->state == CallState::Ended) {
        start.stored = true;
        start.call = *known;
        return start;
    }
    if (!runs) {
        return tl::unexpected(unknownOutcome(std::max<std::int64_t>(1, known->deadlineMs - wallMsNow())));
    }
    start.stream = current->second.stream;
    start.call.number = number;
    start.call.attempt = current->second.attempt;
    return start;
}

Result<void> ProgramRuntime::planModel(CallStart &start, const ProgramRecord &program, const CallRequest &request) const
{
    const auto view = this->follower.views.get();
    const auto model = view->models.find(request.model);
    if (model == view->models.end()) {
        return fail(ErrorKind::NotFound, "no model " + request.model.text);
    }
    start.timeoutMs = model->second.timeoutMs;
    start.maxPromptTokens = historyTokens(program) + MessageOverheadTokens;
    for (const ChatMessage &message : request.messages) {
        start.maxPromptTokens += message.content.size() + MessageOverheadTokens;
    }
    const std::uint64_t left = program.budget.tokens - program.spent.tokens + this->unusedReservation(program.id);
    if (left <= start.maxPromptTokens) {
        return fail(ErrorKind::BudgetSpent,
            "program " + program.id.text + " has " + std::to_string(left) + " tokens left; this prompt may take "
                + std::to_string(start.maxPromptTokens));
    }
    const std::uint32_t modelMaxTokens = model->second.maxTokens;
    const std::uint32_t wanted = request.maxTokens == 0 ? modelMaxTokens : std::min(request.maxTokens, modelMaxTokens);
    start.maxTokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(wanted, left - start.maxPromptTokens));
    start.history = historyOf(program);
    return {};
}

Result<void> ProgramRuntime::planCall(CallStart &start, const ProgramRecord &program, const CallRequest &request) const
{
    const std::int64_t remainingMs =
        program.createdMs + static_cast<std::int64_t>(program.budget.milliseconds) - wallMsNow();
    if (program.spent.calls >= program.budget.calls || remainingMs <= 0) {
        return fail(ErrorKind::BudgetSpent, "program " + program.id.text);
    }
    if (request.kind == CallKind::Model) {
        Result<void> planned = this->planModel(start, program, request);
        if (!planned) {
            return planned;
        }
    } else {
        const auto view = this->follower.views.get();
        const auto service = view->services.find(request.service);
        if (service == view->services.end()) {
            return fail(ErrorKind::NotFound, "no service " + request.service.text);
        }
        const auto &methods = service->second.idempotentMethods;
        start.idempotent =
            request.idempotent || std::find(methods.begin(), methods.end(), request.method) != methods.end();
        start.timeoutMs = service->second.timeoutMs;
    }
    start.timeoutMs = std::min(start.timeoutMs, remainingMs);
    return {};
}

Result<CallStart> ProgramRuntime::checkCall(
    const ProgramRecord &program, CallNumber number, const CallRequest &request) const
{
    const CallRecord *known = program.find(number);
    const auto current = this->running.find(program.id);
    if (known != nullptr || (current != this->running.end() && current->second.number == number)) {
        return this->checkExistingCall(program, known, number, request);
    }
    if (program.ended()) {
        return fail(ErrorKind::ProgramEnded, "program " + program.id.text);
    }
    const bool intentPending = !program.calls.empty() && program.calls.back().state != CallState::Ended;
    if (number.value != program.calls.size() + 1 || current != this->running.end() || intentPending) {
        return fail(ErrorKind::Conflict,
            "call " + std::to_string(number.value) + " must wait for the previous call; "
                + std::to_string(program.calls.size()) + " calls were made");
    }
    CallStart start;
    Result<void> planned = this->planCall(start, program, request);
    if (!planned) {
        return tl::unexpected(planned.error());
    }
    start.isNew = true;
    start.attainedTokens = program.spent.tokens;
    start.call.number = number;
    start.call.digest = request.digest;
    start.call.attempt = AttemptId{"a-" + randomHex(IdBytes)};
    start.call.request = request.body;
    start.call.deadlineMs = wallMsNow() + start.timeoutMs + ResultGraceMs;
    start.stream = std::make_shared<CallStream>(start.idempotent);
    return start;
}

kj::Promise<Result<CallStart>> ProgramRuntime::beginCall(
    ProgramId program, CallNumber number, CustomerId customer, CallRequest request)
{
    const auto found = this->findAuthorized(program, customer);
    Result<CallStart> start = found ? this->checkCall(**found, number, request) : tl::unexpected(found.error());
    if (!start || !start->isNew) {
        if (start && start->stream != nullptr) {
            start->stream->addReader();
        }
        return start;
    }
    start->stream->addReader();
    this->running[program] = RunningCall{number, start->call.digest, start->call.attempt, start->stream};
    logEvent(EventKind::CallAccepted,
        {{"program", program.text}, {"call", std::to_string(number.value)}, {"attempt", start->call.attempt.text}});
    if (start->idempotent) {
        return start;
    }
    JournalMessage message;
    auto command = initCommand(message, program, *this->readyEpoch(program));
    auto begin = command.initBegin();
    begin.setProgram(program.text);
    writeCall(begin.initCall(), start->call);
    return this->commit(program, flatBytes(message))
        .then([this, program, start = std::move(start)](Result<void> &&done) mutable -> Result<CallStart> {
            if (done) {
                return std::move(start);
            }
            // The intent may be committed nevertheless, but nothing was sent to a service.
            this->unsentAttempts.insert(start->call.attempt);
            this->pendingUpkeep.insert(program);
            this->running.erase(program);
            start->stream->finish(tl::unexpected(done.error()));
            return tl::unexpected(done.error());
        });
}

kj::Promise<Result<void>> ProgramRuntime::prepareAttempt(ProgramId program, EndpointId endpoint, std::uint64_t tokens)
{
    const Result<Epoch> epoch = this->readyEpoch(program);
    const ProgramRecord *record = epoch ? this->journal.find(program) : nullptr;
    if (record == nullptr) {
        return Result<void>(fail(ErrorKind::NotReady, "program " + program.text + " is being moved"));
    }
    const std::uint64_t unused = this->unusedReservation(program);
    const bool known = std::find(record->releases.begin(), record->releases.end(), endpoint) != record->releases.end();
    if (unused >= tokens && known) {
        return Result<void>();
    }
    const std::uint64_t left = record->budget.tokens - record->spent.tokens;
    const std::uint64_t missing = tokens - std::min(tokens, unused);
    const std::uint64_t block =
        missing == 0 ? 0 : std::max(missing, std::min(CallsPerBlock * tokens, left / MaxBlockDivisor));
    JournalMessage message;
    auto command = initCommand(message, program, *epoch);
    auto reserve = command.initReserve();
    reserve.setProgram(program.text);
    reserve.setId(randomHex(IdBytes));
    reserve.setEndpoint(endpoint.text);
    writeBudget(reserve.initAmount(), Budget{0, block, 0, 0});
    return this->commit(program, flatBytes(message)).then([this, program, block](Result<void> &&done) {
        if (done) {
            this->reservedTokens[program] += block;
        }
        return kj::mv(done);
    });
}

kj::Promise<Result<CallRecord>> ProgramRuntime::endCall(ProgramId program, CallRecord call)
{
    const std::uint64_t covered = std::min(call.tokens, this->unusedReservation(program));
    return this->commitEnd(program, call, covered, MaxEndAttempts)
        .then([this, program, call, covered](Result<CallRecord> &&done) {
            const auto block = this->reservedTokens.find(program);
            if (block != this->reservedTokens.end()) {
                block->second -= std::min(block->second, covered);
            }
            this->running.erase(program);
            this->idleSinceMs[program] = wallMsNow();
            logEvent(EventKind::CallEnded,
                {{"program", program.text}, {"call", std::to_string(call.number.value)},
                    {"status", std::to_string(call.status)}, {"endpoint", call.endpoint.text}});
            return kj::mv(done);
        });
}

void ProgramRuntime::dropCall(const ProgramId &program, std::uint64_t usedTokens)
{
    const auto block = this->reservedTokens.find(program);
    if (block != this->reservedTokens.end()) {
        block->second -= std::min(block->second, usedTokens);
    }
    this->running.erase(program);
    this->pendingUpkeep.insert(program); // The upkeep ends an intent without a result after its deadline.
    this->idleSinceMs[program] = wallMsNow();
}

kj::Promise<Result<CallRecord>> ProgramRuntime::commitEnd(
    ProgramId program, CallRecord call, std::uint64_t covered, unsigned attemptsLeft)
{
    const bool here = this->readyEpoch(program).has_value();
    auto sent = here ? this->commitResult(program, call, covered) : this->forwardResult(program, call, covered);
    return sent.then(
        [this, program, call, covered, attemptsLeft](Result<void> &&done) -> kj::Promise<Result<CallRecord>> {
            if (done) {
                return Result<CallRecord>(call);
            }
            if (isRetryable(done.error()) && attemptsLeft > 1) {
                return this->timer.afterDelay(EndRetryDelay).then([this, program, call, covered, attemptsLeft]() {
                    return this->commitEnd(program, call, covered, attemptsLeft - 1);
                });
            }
            const ProgramRecord *record = this->journal.find(program);
            const CallRecord *stored = record == nullptr ? nullptr : record->find(call.number);
            if (stored != nullptr && stored->state == CallState::Ended && stored->digest == call.digest) {
                return Result<CallRecord>(*stored); // A retry through another entry ended first.
            }
            Error error = done.error();
            error.ran = call.failure ? call.failure->ran : Ran::Yes;
            return Result<CallRecord>(tl::unexpected(error));
        });
}

kj::Promise<Result<void>> ProgramRuntime::commitResult(ProgramId program, CallRecord call, std::uint64_t covered)
{
    const Result<Epoch> epoch = this->readyEpoch(program);
    if (!epoch) {
        return Result<void>(tl::unexpected(epoch.error()));
    }
    JournalMessage message;
    auto command = initCommand(message, program, *epoch);
    auto end = command.initEnd();
    end.setProgram(program.text);
    end.setCovered(covered);
    writeCall(end.initCall(), call);
    return this->commit(program, flatBytes(message));
}

kj::Promise<Result<void>> ProgramRuntime::forwardResult(ProgramId program, CallRecord call, std::uint64_t covered)
{
    const SlotRecord *slot = this->follower.state.slots.find(slotOf(program.text));
    const EntryRecord *owner = slot == nullptr ? nullptr : this->follower.state.entries.find(slot->owner);
    if (owner == nullptr || owner->id == this->follower.self.id) {
        return Result<void>(fail(ErrorKind::NotReady, "the slot has no other owner yet"));
    }
    return this->peers.peer(owner->rpcAddress)
        .then([program, call, covered](Wire::EntryPeer::Client &&peer) {
            auto request = peer.resultRequest();
            request.setProgram(program.text);
            request.setCovered(covered);
            writeCall(request.initCall(), call);
            return request.send();
        })
        .then(
            [](auto &&response) -> Result<void> {
                if (response.hasFailure()) {
                    return tl::unexpected(readFailure(response.getFailure()));
                }
                return {};
            },
            [this, address = owner->rpcAddress](kj::Exception &&exception) -> Result<void> {
                this->peers.reset(address);
                return fail(ErrorKind::NotReady, exception.getDescription().cStr());
            });
}

} // namespace Chestnuthook
