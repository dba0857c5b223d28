@0xd82f9093d6db81d5;
# Types that every message of chestnuthook's own protocol shares.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chestnuthook::Wire");

struct Failure {
    code @0 :Text;          # A code of the error table.
    what @1 :Text;          # The particulars; never a key or a body.
    ran @2 :Text;           # "no", "yes" or "unknown".
    retryAfterMs @3 :Int64; # 0 where it is not known.
}
