@0xf13da173caa4dbfa;
# What an entry offers the other entries.
using Cxx = import "/capnp/c++.capnp";
using Common = import "common.capnp";
using Program = import "program.capnp";
$Cxx.namespace("Chestnuthook::Wire");

struct AdmitRequest {
    tenant @0 :Text;
    requests @1 :UInt32;    # How many are asked for in one batch.
}

struct AdmitReply {
    granted @0 :UInt32;
    holdMs @1 :UInt32;      # After which the rest would be inside the rate.
    failure @2 :Common.Failure; # Where this entry doesn't own the tenant's slot, or may not grant yet.
    delaysUs @3 :List(UInt32);  # How long to hold each granted request, from when it was asked for.
    recovering @4 :Bool;    # The rest may be asked for again: the owner changed a short while ago.
}

struct GivenUpSlot {
    slot @0 :UInt16;
    epoch @1 :UInt64;       # Under which the asked entry owned it.
    stopped @2 :Bool;       # It grants nothing under that epoch any more; else the successor has to wait.
    levels @3 :List(BucketLevel);
}

struct BucketLevel {
    tenant @0 :Text;
    level @1 :Float64;      # Below zero where requests are reserved ahead.
}

struct PermitRequest {
    endpoint @0 :Text;
    program @1 :Text;
    tenant @2 :Text;
    tokens @3 :UInt32;      # Expected prefill and decode tokens.
    priority @4 :Int32;
    permit @5 :UInt64;      # The asker's id, so that a resend is not counted twice.
    entry @6 :Text;
    attained @7 :Float64;   # Service that the program has had, in tokens.
    isolated @8 :Bool;      # Runs with nothing else in flight at the endpoint.
    running @9 :Bool;       # Granted before, by an earlier dispatcher or in its absence: only to be counted.
}

struct PermitReply {
    granted @0 :Bool;       # Else it waits; a grant comes by `granted`, and is told again on a resend.
    failure @1 :Common.Failure;
    inFlight @2 :UInt32;    # Calls that run or wait at the endpoint.
    backlog @3 :Float64;    # Their expected tokens.
}

struct ForwardedRequest {
    method @0 :Text;
    path @1 :Text;          # With the query.
    tenant @2 :Text;        # Authenticated at the entry that the caller reached.
    keyId @3 :Text;
    idempotencyKey @4 :Text;
    body @5 :Text;
    stream @6 :Bool;
    hops @7 :UInt8;         # At most one.
    headers @8 :List(Header);
    time @9 :Common.HybridTime;
}

struct Header {
    name @0 :Text;
    value @1 :Text;
}

interface AnswerSink {
    start @0 (status :UInt16, headers :List(Header)) -> ();
    write @1 (bytes :Data) -> ();
    end @2 () -> ();
}

interface EntryPeer {
    admit @0 (requests :List(AdmitRequest)) -> (replies :List(AdmitReply));
    permit @1 (requests :List(PermitRequest)) -> (replies :List(PermitReply));
    release @2 (endpoint :Text, entry :Text, permits :List(UInt64)) -> ();
    # Runs a request whose program this entry owns; the answer goes to the sink.
    forward @3 (request :ForwardedRequest, sink :AnswerSink) -> ();
    # The result of an attempt that began under an earlier owner of the program.
    result @4 (program :Text, call :Program.Call) -> (failure :Common.Failure);
    # The asker has become the owner of slots: stop granting for them and tell what the buckets hold.
    giveUp @5 (slots :List(GivenUpSlot)) -> (slots :List(GivenUpSlot));
    # From a dispatcher: permits of the called entry that waited may be used now.
    granted @6 (permits :List(UInt64)) -> ();
}
