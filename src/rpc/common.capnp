@0xd82f9093d6db81d5;
# Types that every message of chestnuthook's own protocol shares.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chestnuthook::Wire");

# A reading of the hybrid logical clock; travels with messages, so that time lines order cause before effect.
struct HybridTime {
    wallMs @0 :Int64;
    counter @1 :UInt32;
}

struct Failure {
    code @0 :Text;          # A code of the error table.
    what @1 :Text;          # The particulars; never a key or a body.
    ran @2 :Text;           # "no", "yes" or "unknown".
    retryAfterMs @3 :Int64; # 0 where it is not known.
}
