@0x892308c75bac0463;
# Services of a control member, and the gate that every connection between processes passes first.
using Cxx = import "/capnp/c++.capnp";
using Common = import "common.capnp";
using Fleet = import "fleet.capnp";
using Program = import "program.capnp";
$Cxx.namespace("Chestnuthook::Wire");

# Bootstrap of every port: proves the fleet's secret both ways (HMAC-SHA-256 over both nonces) and gives nothing before.
interface Gate {
    challenge @0 (party :Text, nonce :Data) -> (nonce :Data, proof :Data, prover :Prover);
}

interface Prover {
    prove @0 (proof :Data) -> (services :Services);
}

struct Services {
    control @0 :Control;    # Null at an entry.
    peer @1 :Capability;    # A Member at a control member, an EntryPeer at an entry, a HistoryStore at a history store.
    deployment @2 :Capability; # A Deployment at a control member of a deployment.
}

enum Group {
    fleet @0;
    journal @1;
}

struct SubmitReply {
    leader @0 :Text;        # Address of the leader where this member knows it.
    union {
        reply @1 :Data;     # The group's reply message.
        failure @2 :Common.Failure;
    }
}

struct SyncRequest {
    entry @0 :Fleet.Entry;  # Epoch 0 asks for a new lease.
    haveIndex @1 :UInt64;
    inForceRevision @2 :UInt64; # What the entry serves under; operators are shown it.
    time @3 :Common.HybridTime;
}

struct SyncReply {
    leader @0 :Text;
    union {
        delta :group {
            delta @1 :Fleet.FleetDelta;
            epoch @2 :UInt64;       # Of the entry's lease.
            leaseMs @3 :UInt32;     # From when the entry sent this request, by the entry's clock.
        }
        failure @4 :Common.Failure;
    }
    time @5 :Common.HybridTime;
}

struct SlotEpoch {
    slot @0 :UInt16;
    epoch @1 :UInt64;
}

struct LoadReply {
    leader @0 :Text;
    union {
        programs @1 :List(Program.Program);
        failure @2 :Common.Failure;
    }
    time @3 :Common.HybridTime;
}

struct EntryStatus {
    entry @0 :Fleet.Entry;
    inForceRevision @1 :UInt64;
    heardMsAgo @2 :UInt64;
    haveIndex @3 :UInt64;   # Log index up to which keys and declarations are in force there.
}

struct MemberStatus {
    id @0 :Text;
    address @1 :Text;
    role @2 :Text;          # leader, follower, candidate, learner
    matchIndex @3 :UInt64;
}

struct Status {
    member @0 :Text;
    leader @1 :Text;
    term @2 :UInt64;
    fleetIndex @3 :UInt64;
    journalIndex @4 :UInt64;
    revision @5 :UInt64;
    entries @6 :List(EntryStatus);
    members @7 :List(MemberStatus);
    programs @8 :UInt64;
    confirmed @9 :Bool;     # A quorum confirmed this answer.
}

interface Control {
    # A command of a group; answered by the leader once it is committed. A resend under the same request id, also to
    # another leader, gets the first reply.
    submit @0 (group :Group, command :Data, requestId :Data, time :Common.HybridTime) -> (result :SubmitReply);
    # Heartbeat, lease renewal and fleet delta in one; confirmed by a quorum.
    sync @1 (request :SyncRequest) -> (result :SyncReply);
    # Opened slots' programs, read at a confirmed index.
    loadSlots @2 (slots :List(SlotEpoch)) -> (result :LoadReply);
    # For operators; answers without a quorum too, and says so.
    status @3 () -> (status :Status);
    # Whole fleet state for ctl; confirmed by a quorum.
    readFleet @4 () -> (result :SyncReply);
    # Adds or removes a member of all groups.
    changeMember @5 (id :Text, address :Text, remove :Bool) -> (result :SubmitReply);
    # Test hook, only served with --test_hooks: drops traffic to and from other members and entries.
    setTestFault @6 (dropMembers :Bool, dropEntries :Bool) -> ();
    # The member's events after `since` as JSON, for time lines; as GET /v1/events at an entry.
    events @7 (since :UInt64, limit :UInt32) -> (json :Text);
}
