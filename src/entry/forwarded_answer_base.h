/** @file forwarded_answer_base.h  Forwards a request to the entry that owns its program and passes the answer on. */
#pragma once

#include <memory>
#include <string>

#include "entry/answer_writer_base.h"
#include "entry/entry_context_type.h"
#include "entry/program_service_base.h"

namespace Chestnuthook
{

/** For one request on one traffic thread. */
class ForwardedAnswer
{
public:
    ForwardedAnswer(EntryContext &context, AnswerWriter &answer);

    /** Errors: NotReady where the other entry did not answer; `ran` is unknown once the request was sent. The request
     * is safe to forward again: a call that it began is known by its number and content. */
    Result<void> run(const std::string &address, const CallerRequest &request);

private:
    struct Pipe;
    class Sink;

    /** Whether the entry at @p address still has its lease; one that is only paused never answers. */
    [[nodiscard]] bool isListed(const std::string &address) const;

    EntryContext &context; ///< Of the entry.
    AnswerWriter &answer; ///< To the caller.
};

} // namespace Chestnuthook
