@0xa562bfc8a53238f3;
# Replicated state of the fleet: declarations, keys, leases of entries, slots, strikes, orders.
using Cxx = import "/capnp/c++.capnp";
using Common = import "common.capnp";
$Cxx.namespace("Chestnuthook::Wire");

struct Declaration {
    section @0 :Text;       # "tenants", "models", "services", …
    name @1 :Text;
    json @2 :Text;          # One object as JSON; empty means removed.
}

struct Key {
    id @0 :Text;
    tenant @1 :Text;
    hash @2 :Data;          # SHA-256 of the key.
    withdrawn @3 :Bool;     # Final once set.
    note @4 :Text;
}

enum EntryState {
    live @0;
    draining @1;
}

struct Entry {
    id @0 :Text;
    epoch @1 :UInt64;       # Epoch of the lease.
    address @2 :Text;       # For callers, ip:port.
    rpcAddress @3 :Text;    # For the other entries, ip:port.
    dataCentre @4 :Text;
    state @5 :EntryState;
}

struct Slot {
    number @0 :UInt16;
    owner @1 :Text;         # Entry id; empty where no entry is live.
    epoch @2 :UInt64;
    former @3 :Text;        # Owner before this one.
    formerEpoch @4 :UInt64; # 0 where the slot never had another record.
}

struct Strike {
    fingerprint @0 :Text;   # Hash of tenant and content.
    strikes @1 :UInt32;
    endpoints @2 :List(Text); # Endpoints that died with it in flight.
    expiresAtMs @3 :Int64;  # By the leader's clock as the commands carried it.
}

struct Order {
    endpoint @0 :Text;
    json @1 :Text;          # The order as it is sent to the endpoint.
    fence @2 :UInt64;       # Fencing number: the term of the leader that issued it.
    confirmed @3 :Bool;
}

struct FleetItem {
    index @0 :UInt64;       # Log index of the last change of this item.
    removed @1 :Bool;       # The item is gone; the union then holds its name alone.
    union {
        declaration @2 :Declaration;
        key @3 :Key;
        entry @4 :Entry;
        slot @5 :Slot;
        strike @6 :Strike;
        order @7 :Order;
    }
}

struct FleetDelta {
    from @0 :UInt64;        # The holder's index; 0 for a whole copy.
    to @1 :UInt64;
    revision @2 :UInt64;    # Revision of the declarations at `to`.
    whole @3 :Bool;         # Replace the copy rather than change it.
    items @4 :List(FleetItem);
}

struct FleetCommand {
    requestId @0 :Text;     # A resend under the same id gets the first reply.
    nowMs @1 :Int64;        # The proposer's wall clock; only for bookkeeping of expiry.
    union {
        apply :group {
            expectedRevision @2 :UInt64;
            changes @3 :List(Declaration);
            author @13 :Text;
        }
        issueKey @4 :Key;
        withdrawKey @5 :Text;
        grantLease @6 :Entry;           # A new lease of an entry; the epoch is set by the state.
        endLease :group {
            entry @7 :Text;
            epoch @8 :UInt64;
        }
        setEntryState :group {
            entry @9 :Text;
            epoch @10 :UInt64;
            state @11 :EntryState;
        }
        strike @12 :Strike;
        order @14 :Order;
        prune @15 :Void;                # Drops strikes that have expired at nowMs, and tombstones past their use.
    }
}

struct FleetReply {
    index @0 :UInt64;
    revision @1 :UInt64;
    union {
        done @2 :Void;
        failure @3 :Common.Failure;
        epoch @4 :UInt64;   # Of a granted lease.
    }
}

struct RememberedReply {
    index @0 :UInt64;
    requestId @1 :Text;
    reply @2 :Data;         # A flat FleetReply.
}

struct FleetSnapshot {
    version @0 :UInt32;
    state @1 :FleetDelta;   # The whole state.
    replies @2 :List(RememberedReply);
    oldestDelta @3 :UInt64; # Copies older than this get a whole copy.
}
