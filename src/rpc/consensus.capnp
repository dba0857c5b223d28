@0x89a8d3690c5e31c5;
# Replication between control members; one message type per direction keeps the pure core free of RPC.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chestnuthook::Wire");

struct LogEntry {
    term @0 :UInt64;
    index @1 :UInt64;
    kind @2 :UInt8;         # 0 command, 1 no-op, 2 membership
    data @3 :Data;          # Left out where `compressed` is there.
    compressed @4 :Data;    # `data` in the zlib format, for a member that has said that it takes this.
}

struct ConsensusMessage {
    group @0 :UInt16;
    from @1 :Text;
    to @2 :Text;
    term @3 :UInt64;
    union {
        vote :group {
            pre @4 :Bool;
            lastIndex @5 :UInt64;
            lastTerm @6 :UInt64;
        }
        voteReply :group {
            pre @7 :Bool;
            granted @8 :Bool;
        }
        append :group {
            prevIndex @9 :UInt64;
            prevTerm @10 :UInt64;
            commit @11 :UInt64;
            readContext @12 :UInt64;
            entries @13 :List(LogEntry);
        }
        appendReply :group {
            ok @14 :Bool;
            matchIndex @15 :UInt64; # Where not ok: a hint at which to try again.
            readContext @16 :UInt64;
        }
        snapshot :group {
            lastIndex @17 :UInt64;
            lastTerm @18 :UInt64;
            membership @19 :Data;
            offset @20 :UInt64;
            data @21 :Data;
            done @22 :Bool;
        }
        snapshotReply :group {
            lastIndex @23 :UInt64;
            offset @24 :UInt64;
            readContext @26 :UInt64;
        }
    }
    fromAddress @25 :Text;  # Control port of the sender; a member that joins learns it from here.
    snapshotReadContext @27 :UInt64; # Read round, for snapshot messages.
}

# What a control member offers the other members.
interface Member {
    send @0 (messages :List(ConsensusMessage)) -> (takesCompressed :Bool);
    # Who this is, and whether it has ever taken part in a group.
    hello @1 () -> (identity :Text, founded :Bool);
}

# A replicated command: to which machine it goes, and the id under which a resend gets the first reply.
struct Proposal {
    machine @0 :UInt8;
    requestId @1 :Data;     # Empty: not remembered.
    command @2 :Data;
}

struct ProposalReply {
    index @0 :UInt64;
    requestId @1 :Data;
    reply @2 :Data;
}

struct MachineState {
    machine @0 :UInt8;
    state @1 :Data;
}

struct NodeSnapshot {
    version @0 :UInt32;
    machines @1 :List(MachineState);
    replies @2 :List(ProposalReply);
}
