@0xe2a94c6b07d1f358;
# What gateways offer each other to place requests at the endpoints of a pool. Times are relative, as clocks differ.
using Cxx = import "/capnp/c++.capnp";
using Relay = import "relay.capnp";
$Cxx.namespace("Chestnuthook::Wire");

# A request that needs an endpoint.
struct PoolTurn {
    ticket @0 :UInt64;          # Chosen by the sender.
    program @1 :UInt64;         # Hash of the program's id; 0 for none.
    customer @2 :UInt64;        # Hash of the customer's name.
    promptTokens @3 :UInt32;
    outputTokens @4 :UInt32;    # Maximum.
    expectedTokens @5 :UInt32;  # Likely output; 0 where it isn't known.
    leftUs @6 :Int64;           # Time until the deadline.
    hasProgramTime @7 :Bool;
    programLeftUs @8 :Int64;    # Time until the deadline of the program, negative when late; only with hasProgramTime.
    priority @9 :UInt32;
    version @10 :Text;          # Required software version; empty for any.
    excluded @11 :List(Text);   # Endpoints that must not be used.
    customerWeight @12 :Float64;    # Rate of the customer.
    programTotalMs @13 :Int64;      # Time of the program from its start to its deadline; 0 where the sender doesn't know.
}

enum PoolVerdict {
    granted @0;
    waiting @1;
    refused @2;
    unknown @3;     # The owner holds no such ticket.
}

struct PoolDecision {
    verdict @0 :PoolVerdict;
    endpoint @1 :Text;          # Granted endpoint.
    waitUs @2 :Int64;           # Predicted time until the grant.
    timeUs @3 :Int64;           # Predicted time from the grant to the end.
    reason @4 :Text;
}

# How a granted request ended.
struct PoolOutcome {
    ticket @0 :UInt64;
    tokens @1 :UInt32;          # Delivered.
    firstEventUs @2 :Int64;     # From the start of the attempt; 0 if there was none.
    totalUs @3 :Int64;          # From the start of the attempt.
    failed @4 :Bool;
    notRun @5 :Bool;
    hasLoad @6 :Bool;
    running @7 :UInt32;         # Load that the endpoint reported; only with hasLoad, as the next three.
    waiting @8 :UInt32;
    slots @9 :UInt32;
    pacePercent @10 :UInt32;
}

# A request that a former owner placed and that is in flight.
struct RunningTurn {
    turn @0 :PoolTurn;
    endpoint @1 :Text;
}

struct PoolForecast {
    endpoint @0 :Text;
    allowed @1 :Bool;
    free @2 :Bool;
    running @3 :UInt32;
    usedTokens @4 :UInt64;
    readTokens @5 :UInt64;
    cachedTokens @6 :UInt32;
    speed @7 :Float64;
    pace @8 :Float64;
    waitUs @9 :Int64;
    timeUs @10 :Int64;
    reason @11 :Text;
}

# Every call names the pool and the sender. A gateway that isn't the pool's owner by its own list answers all the same.
interface EndpointDispatch {
    acquire @0 (pool :Text, sender :Text, turn :PoolTurn) -> (decision :PoolDecision);
    # Waits up to waitMs for the decision on a turn that waits.
    await @1 (pool :Text, sender :Text, ticket :UInt64, waitMs :UInt32) -> (decision :PoolDecision);
    release @2 (pool :Text, sender :Text, outcomes :List(PoolOutcome));
    cancel @3 (pool :Text, sender :Text, tickets :List(UInt64));
    adopt @4 (pool :Text, sender :Text, turns :List(RunningTurn));
    # Where a request would go now; changes nothing.
    explain @5 (pool :Text, sender :Text, turn :PoolTurn) -> (forecasts :List(PoolForecast));
}

# What the inner port of a gateway offers.
interface GatewayPeer extends(Relay.EndpointRelay, EndpointDispatch) {}
