@0xb7e0f52c9d1a4836;
# Storage of kept turns and of programs' token budgets.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chestnuthook::Wire");

# Tokens that a turn may generate (until it is settled) or did generate.
struct TokenClaim {
    turn @0 :Text;
    tokens @1 :UInt32;
    settled @2 :Bool;
}

struct KeptTurn {
    id @0 :Text;
    previous @1 :Text;      # Empty at the start of a chain.
    customer @2 :Text;
    input @3 :Data;
    output @4 :Data;        # Data of each event, each followed by a line feed.
    expiresMs @5 :UInt64;   # Wall clock of the sender, milliseconds since 1970.
    keepMs @6 :UInt64;      # Time for which a member keeps it; 0 if the sender only knows `expiresMs`.
}

struct HistoryRecord {
    union {
        claim :group {
            program @0 :Text;
            claim @1 :TokenClaim;
            expiresMs @2 :UInt64;
            keepMs @5 :UInt64;
        }
        turn @3 :KeptTurn;
        view @4 :UInt64;        # Highest view that the member has taken notice of.
    }
}

enum HistoryStatus {
    ok @0;
    staleView @1;           # The caller's view is older than one that this member has seen.
    wrongMember @2;         # Another data folder is at this address now.
    failed @3;
    full @4;                # Memory or disk is nearly used up, so that no new program is stored.
}

# An event of a stream whose turn will be kept.
struct StreamPiece {
    id @0 :Text;            # Empty if the event has none.
    output @1 :Data;        # What it adds to the output of the turn.
}

# The events of a stream as one request received them.
struct StreamBranch {
    request @0 :Text;
    parent @1 :Text;        # Request whose events it follows; empty if it began the stream.
    resumedFrom @2 :UInt32; # Number of pieces at the front that it shares with its parent.
    pieces @3 :List(StreamPiece);   # All events of the stream from its beginning on.
}

interface HistoryStore {
    # Writes the claim of a turn that is to run, and reads what it depends on.
    begin @0 (identity :Text, view :UInt64, claim :HistoryRecord, previous :Text, customer :Text, withChain :Bool)
        -> (status :HistoryStatus, claims :List(TokenClaim), known :Bool, chain :List(KeptTurn), missing :Text);
    # Writes records durably.
    # `missing` is a turn that the written ones continue and that this member lacks; empty for none.
    write @1 (identity :Text, view :UInt64, records :List(HistoryRecord)) -> (status :HistoryStatus, missing :Text);
    # A part of all records, in the order in which they were written; for a member that joins. `end` is the position after
    # the last record now. What is written later under the same view reaches its next members by itself. `start` changes
    # when the member starts again, which numbers its records anew.
    copy @2 (identity :Text, view :UInt64, position :UInt64)
        -> (status :HistoryStatus, records :List(HistoryRecord), next :UInt64, done :Bool, end :UInt64, start :UInt64);
    # The chain that ends at a turn, newest first.
    chain @3 (identity :Text, view :UInt64, turn :Text, customer :Text)
        -> (status :HistoryStatus, known :Bool, chain :List(KeptTurn), missing :Text);
    # Keeps in memory at which service and software version a stream began. Valid under every view.
    addStreamOrigin @4 (request :Text, customer :Text, service :Text, version :Text, ttlMs :UInt64) -> ();
    findStreamOrigin @5 (request :Text, customer :Text) -> (known :Bool, service :Text, version :Text);
    # The following calls keep in memory the events of a stream whose turn will be kept, while it may be resumed. A stream
    # is named by the request that began it. Valid under every view.
    beginStream @6 (stream :Text, customer :Text, turn :UInt64, members :UInt32, ttlMs :UInt64) -> (held :Bool);
    # Adds events after `position` others. `held` is false if earlier ones are missing.
    addStreamPieces @7 (stream :Text, customer :Text, request :Text, position :UInt32, pieces :List(StreamPiece))
        -> (held :Bool);
    findStream @8 (stream :Text, customer :Text)
        -> (known :Bool, turn :UInt64, members :UInt32, ambiguous :Bool, branches :List(StreamBranch));
    # Adds a resumption. `held` is false if the member doesn't hold the beginning of the stream.
    resumeStream @9 (stream :Text, customer :Text, branch :StreamBranch) -> (held :Bool);
    # Removes a resumption that has brought its client no event.
    withdrawResumption @10 (stream :Text, customer :Text, request :Text) -> ();
}
