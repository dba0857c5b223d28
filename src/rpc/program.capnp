@0x8307914f25ac778f;
# Replicated state of programs: calls, history, budgets, intents, results.
using Cxx = import "/capnp/c++.capnp";
using Common = import "common.capnp";
$Cxx.namespace("Chestnuthook::Wire");

struct Budget {
    calls @0 :UInt64;
    tokens @1 :UInt64;
    milliseconds @2 :UInt64; # Wall time from creation.
    depth @3 :UInt32;        # Levels of sub-agents that may be created below.
}

enum CallState {
    intent @0;   # Non-idempotent and journaled before the first byte left.
    ended @1;    # Has a result, which is final.
}

struct Call {
    number @0 :UInt32;
    digest @1 :Text;        # SHA-256 of the request's content.
    attempt @2 :Text;
    state @3 :CallState;
    request @4 :Text;       # The request body: new messages or the tool call.
    answer @5 :Text;        # The body of the stored answer.
    status @6 :UInt16;      # HTTP status of the stored answer.
    failure @7 :Common.Failure; # Where the call ended without an answer.
    tokens @8 :UInt64;      # Charged to the budget.
    endpoint @9 :Text;
    deadlineMs @10 :Int64;  # Wall time after which an intent without a result is `unknown`.
}

struct Program {
    id @0 :Text;
    tenant @1 :Text;
    parent @2 :Text;
    children @3 :List(Text);
    budget @4 :Budget;      # As granted.
    spent @5 :Budget;       # Of which used, with blocks not returned.
    createdMs @6 :Int64;
    endedMs @7 :Int64;      # 0 while open.
    calls @8 :List(Call);
    releases @9 :List(Text); # Endpoints whose cache release is not confirmed.
    requestId @10 :Text;    # Of the request that created it.
    lastReserve @11 :Text;  # Id of the last block taken or returned; a resend of it changes nothing.
}

struct JournalCommand {
    slot @0 :UInt16;
    epoch @1 :UInt64;       # Writes under an epoch older than the slot's are refused.
    nowMs @2 :Int64;
    union {
        openSlots @3 :List(SlotEpochRecord); # Raises epochs; older owners are fenced off from then on.
        create @4 :Program;
        begin :group {
            program @5 :Text;
            call @6 :Call;
            block @7 :Budget; # Taken from the budget ahead of use.
        }
        end :group {
            program @8 :Text;
            call @9 :Call;
            covered @17 :UInt64; # Tokens of the call that a block has paid for already.
        }
        endProgram @10 :Text;
        released :group {
            program @11 :Text;
            endpoint @12 :Text;
        }
        reserve :group {
            program @13 :Text;
            amount @14 :Budget;  # A block taken (or, with `giveBack`, returned).
            giveBack @15 :Bool;
            id @18 :Text;        # A resend under the same id changes nothing.
            endpoint @19 :Text;  # About to run a call of the program, so that its cache must be released there.
        }
        forget @16 :List(Text); # Ended programs whose retention is over.
        carve :group {
            program @20 :Text;   # The parent.
            child @21 :Text;
            amount @22 :Budget;  # Taken from the parent for the child.
        }
        childEnded :group {
            program @23 :Text;
            child @24 :Text;     # Has ended after its parent.
        }
    }
}

struct JournalReply {
    index @0 :UInt64;
    union {
        done @1 :Void;
        failure @2 :Common.Failure;
    }
}

struct SlotEpochRecord {
    slot @0 :UInt16;
    epoch @1 :UInt64;
}

struct JournalSnapshot {
    version @0 :UInt32;
    index @1 :UInt64;
    slots @2 :List(SlotEpochRecord);
    programs @3 :List(Program);
}
