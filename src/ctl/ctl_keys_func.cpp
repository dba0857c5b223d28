/** @file ctl_keys_func.cpp  The verbs keys issue, keys withdraw and keys list. */
#include "core/hash_func.h"
#include "ctl/ctl_rollout_func.h"
#include "ctl/ctl_verb_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t KeyBytes = 24;
constexpr std::size_t KeyIdBytes = 12;

/** Returns the id of a new key. It is derived from the request id if there is one, so that a resend uses the same id.
 */
std::string newKeyId(const CtlOptions &options)
{
    const std::string random = randomHex(KeyIdBytes);
    return "k-" + (options.requestId.empty() ? random : sha256Hex(options.requestId).substr(0, random.size()));
}

/** Verifies that the fleet stores @p hash for key @p id. A resend gets the reply to the first request with its request
 * id, which was for a different key. */
Result<void> verifyIssuedKey(CtlSession &session, const std::string &id, const std::string &hash)
{
    const Result<FleetState> state = session.readFleet();
    if (!state) {
        return tl::unexpected(state.error());
    }
    const KeyRecord *record = state->keys.find(KeyId{id});
    if (record == nullptr || record->hash != hash) {
        return fail(ErrorKind::Conflict,
            "this request was answered before, when its key was printed; if that was lost, withdraw " + id
                + " and issue another under a new request id");
    }
    return {};
}

} // namespace

CtlExit ctlIssueKey(CtlSession &session, const CtlOptions &options, const Words &words)
{
    const std::string key = "chk-" + randomHex(KeyBytes);
    const std::string id = newKeyId(options);
    const std::string hash = sha256Raw(key);
    CommandMessage message;
    auto record = initCommand(message, options).initIssueKey();
    record.setId(id);
    record.setTenant(words[0]);
    record.setHash(dataOf(hash));
    record.setNote(options.note);
    const Result<SubmitResult> submitted = submitCommand(session, message);
    if (!submitted) {
        return printError(options, submitted.error());
    }
    const Result<void> issued = verifyIssuedKey(session, id, hash);
    if (!issued) {
        return printError(options, issued.error());
    }
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("id", id);
    object.set("tenant", words[0]);
    object.set("key", key);
    return finishAfterRollout(session, options, *submitted, "id " + id + "\nkey " + key + "\n", object);
}

CtlExit ctlWithdrawKey(CtlSession &session, const CtlOptions &options, const Words &words)
{
    CommandMessage message;
    initCommand(message, options).setWithdrawKey(words[0]);
    const Result<SubmitResult> submitted = submitCommand(session, message);
    if (!submitted) {
        return printError(options, submitted.error());
    }
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("id", words[0]);
    object.set("state", "withdrawn");
    return finishAfterRollout(session, options, *submitted, "key " + words[0] + " withdrawn\n", object);
}

CtlExit ctlListKeys(CtlSession &session, const CtlOptions &options, const Words & /*words*/)
{
    const Result<FleetState> state = session.readFleet();
    if (!state) {
        return printError(options, state.error());
    }
    std::vector<Words> rows;
    Poco::JSON::Array list;
    for (const auto &[id, row] : state->keys.all()) {
        const std::string keyState = row.record.withdrawn ? "withdrawn" : "active";
        rows.push_back({id.text, row.record.customer.text, keyState});
        if (!row.record.note.empty()) {
            rows.back().push_back(row.record.note);
        }
        Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
        object.set("id", id.text);
        object.set("tenant", row.record.customer.text);
        object.set("state", keyState);
        object.set("note", row.record.note);
        list.add(object);
    }
    Poco::JSON::Object object;
    object.set("keys", list);
    printResult(options, formatColumns(rows), object);
    return CtlExit::Done;
}

} // namespace Chestnuthook
