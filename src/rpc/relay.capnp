@0xb7a4e1f09c3d5826;
# What gateways offer each other: connections to endpoints for a gateway whose own link to them is down.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chestnuthook::Wire");

# One direction of a relayed connection.
interface ByteSink {
    write @0 (bytes :Data) -> stream;
    # The sender has closed its side in order. A sink that is dropped without it means that the connection was reset.
    end @1 ();
}

interface EndpointRelay {
    # Opens a connection to a listed endpoint, never through a third gateway. Closed when the caller drops toEndpoint.
    connect @0 (endpoint :Text, toCaller :ByteSink) -> (toEndpoint :ByteSink);
}
