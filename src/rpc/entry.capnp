@0xf13da173caa4dbfa;
# What an entry offers the other entries.
using Cxx = import "/capnp/c++.capnp";
using Common = import "common.capnp";
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
}

struct PermitReply {
    granted @0 :Bool;
    failure @1 :Common.Failure;
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
    # The asker has become the owner of slots: stop granting for them and tell what the buckets hold.
    giveUp @4 (slots :List(GivenUpSlot)) -> (slots :List(GivenUpSlot));
}
