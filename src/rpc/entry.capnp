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
    failure @2 :Common.Failure; # Where this entry doesn't own the tenant's slot.
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
}
