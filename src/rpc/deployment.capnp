@0xd31c7f0a86e2b945;
# What the control members of a deployment offer its other daemons: configuration, endpoints, instances, rate credit.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chestnuthook::Wire");

enum InstanceRole {
    gateway @0;
    history @1;
    control @2;
}

# A request that was under way at an endpoint that went down.
struct EndpointStrike {
    fingerprint @0 :UInt64;     # Of customer, method, target and body; another one also of the turn that is continued.
    endpoint @1 :Text;
    ageMs @2 :UInt32;           # Since the endpoint went down.
    broad @3 :Bool;             # A fingerprint without the turn that is continued, of a request that continues one.
    underWayMs @4 :UInt32;      # How long the request had been under way.
}

# Limit that an endpoint has named in a response.
struct EndpointLimit {
    endpoint @0 :Text;
    perSecond @1 :Float64;      # 0 where the response named none.
    ageMs @2 :UInt32;           # Since the response.
}

# One daemon as it describes itself in each watch.
struct InstanceReport {
    name @0 :Text;
    role @1 :InstanceRole;
    dataCentre @2 :Text;
    callerAddress @3 :Text;     # Where callers (gateway) or operators (control) connect; else empty.
    rpcAddress @4 :Text;        # Where other daemons connect.
    identity @5 :Text;          # Of the data folder; empty at a gateway.
    ready @6 :Bool;             # A gateway that takes callers; another daemon that isn't about to end.
    copiedView @7 :UInt64;      # History: view for which the copy of all turns is complete; 0 for none.
    strikes @8 :List(EndpointStrike);   # Since the last report.
    limits @10 :List(EndpointLimit);    # Changed since the last report.
    cutOff @9 :Bool;            # A gateway that reaches less than half of a service's endpoints by its own links.
    processorShare @11 :Float64;    # Cores that the process may use; 0 where it doesn't say.
    relaysCredit @12 :Bool;     # A control member that offers relayCredit.
    acquitted @13 :List(UInt64);    # Fingerprints under suspicion of which a request has ended well since the last report.
    refused @14 :List(UInt64);      # Fingerprints in quarantine of which a request has come again.
    strikeReport @15 :UInt64;       # Identifies strikes, acquitted and refused, which come again until they are recorded.
}

struct EndpointEntry {
    id @0 :Text;
    service @1 :Text;
    address @2 :Text;
    dataCentre @3 :Text;
    slots @4 :UInt32;
    leaving @5 :Bool;
    version @6 :Text;           # Of its software; empty where the list doesn't say.
    limitPerSecond @7 :Float64; # 0 for none.
    evacuated @8 :Bool;         # Its data centre is evacuated: it must get no request.
    coldPerSecond @9 :Float64;  # Requests a second that it takes while it is cold; 0 for one that isn't cold.
}

struct HistoryMember {
    identity @0 :Text;
    name @1 :Text;
    address @2 :Text;
}

# Who holds the history of turns. Writes need a majority of `current` and, while `next` is not empty, of `next` too.
struct HistoryView {
    version @0 :UInt64;
    current @1 :List(HistoryMember);
    next @2 :List(HistoryMember);
}

struct InstanceEntry {
    name @0 :Text;
    role @1 :InstanceRole;
    dataCentre @2 :Text;
    callerAddress @3 :Text;
    rpcAddress @4 :Text;
    ready @5 :Bool;
    identity @6 :Text;          # Of the data folder.
    cutOff @7 :Bool;            # As the daemon reported it.
    processorShare @8 :Float64; # As the daemon reported it.
    relaysCredit @9 :Bool;      # As the daemon reported it.
}

# Software version of an endpoint of a service.
struct ServiceVersion {
    service @0 :Text;
    version @1 :Text;           # Empty where the list doesn't say.
}

# Versions that the caller holds; a part whose version is the same is left out of the update.
struct HeldVersions {
    configuration @0 :UInt64;
    endpoints @1 :UInt64;
    instances @2 :UInt64;
    quarantine @3 :UInt64;
    view @4 :UInt64;
    term @5 :UInt64;            # Leader's term under which the versions count; all but configuration and view.
    fetches @6 :Bool;           # The caller gets the configuration by itself or needs none: updates only tell its version.
    knownConfiguration @7 :UInt64;  # Newest version that such a caller knows of; `configuration` is the one in force there.
    takesChanges @8 :Bool;      # The caller understands updates that hold only the changed instances.
}

struct Update {
    leader @0 :Text;            # RPC address of the leader where known; set alone at a member that doesn't lead.
    term @1 :UInt64;            # 0 where this member doesn't lead.
    versions @2 :HeldVersions;
    configuration @3 :Data;     # As the operator sent it; left out for a caller that fetches it.
    endpoints @4 :List(EndpointEntry);
    instances @5 :List(InstanceEntry);
    quarantine @6 :List(UInt64);
    view @7 :HistoryView;
    has @8 :UInt32;             # Bit per part: 1 configuration, 2 endpoints, 4 instances, 8 quarantine, 16 view.
    instancesPartial @9 :Bool;  # `instances` are those that changed since the version held; the others remain.
    instancesGone @10 :List(Text);  # Names of those that are no longer alive; only with instancesPartial.
    watchMs @11 :UInt32;        # How long the caller may let its next watches wait; 0 for the shortest time.
    suspects @12 :List(UInt64); # Fingerprints of other requests that were under way at crashes; with `quarantine`.
    recordsStrikes @13 :Bool;   # The leader tells by the next field what is durable; one that doesn't has recorded all.
    recordedStrikes @14 :UInt64;    # The latest strikeReport of the caller that is recorded.
}

struct CustomerCredit {
    customer @0 :Text;
    requests @1 :UInt32;    # Wanted: for programs under way. Granted: for all.
    ahead @2 :UInt32;       # Wanted for new programs and ahead of need; given only out of a good supply.
    late @3 :UInt32;        # Wanted for new programs that can hardly end in time; given only out of a plentiful one.
    returned @4 :UInt32;    # Granted earlier and not used; leaders before this field ignore it.
}

# Requests to an endpoint that names a limit.
struct EndpointCredit {
    limit @0 :EndpointLimit;    # As the caller knows it.
    requests @1 :UInt32;        # Wanted or granted.
    ahead @2 :UInt32;           # Wanted ahead of need; given only out of a good supply.
    returned @3 :UInt32;        # Granted earlier and not used.
    coldPerSecond @4 :Float64;  # Requests a second that it takes while it is cold, as the caller knows it; 0 if not cold.
}

# Progress of a control member's request to leave the group.
enum LeaveState {
    notLeader @0;   # The member asked doesn't lead.
    pending @1;     # The caller is to ask again.
    left @2;        # The caller isn't a member of the group.
    refused @3;     # No other instance can take its place.
}

interface Deployment {
    # Reports the caller and waits up to waitMs for something newer than what it holds.
    watch @0 (report :InstanceReport, held :HeldVersions, waitMs :UInt32) -> (update :Update);
    # Requests that the caller may admit for each customer, out of the rate of the whole deployment.
    # A leader that doesn't know endpoints' limits leaves limitsEndpoints false.
    credit @1 (instance :Text, wanted :List(CustomerCredit), endpoints :List(EndpointCredit))
        -> (leading :Bool, granted :List(CustomerCredit), endpoints :List(EndpointCredit), limitsEndpoints :Bool);
    # The newest configuration that this member has applied, in the zlib format; version 0 if it is older than atLeast.
    # Any control member answers.
    configuration @2 (atLeast :UInt64) -> (version :UInt64, compressed :Data);
    # Software versions of the endpoints at which streams of a service may have begun.
    # `known` is false where this member doesn't lead or can't be certain.
    serviceVersions @3 (service :Text) -> (known :Bool, versions :List(Text));
    # As credit for customers, at any control member that offers it: it asks the leader for many gateways at once.
    # Fails where the leader doesn't answer.
    relayCredit @4 (wanted :List(CustomerCredit)) -> (granted :List(CustomerCredit));
    # For a control member that is about to end, again and again until it has left or is refused. `identity` is that of
    # its data folder.
    leaveGroup @5 (identity :Text) -> (state :LeaveState);
}

# A request that was under way at an endpoint that went down, as control members replicate it.
struct StrikeRecord {
    fingerprint @0 :UInt64;     # As in EndpointStrike.
    endpoint @1 :Text;
    atMs @2 :Int64;             # When the endpoint went down, in milliseconds since 1970.
    broad @3 :Bool;             # As in EndpointStrike.
    underWayMs @4 :UInt32;      # As in EndpointStrike.
}

# A command of the deployment's replicated state.
struct DeploymentCommand {
    union {
        configuration :group {
            version @0 :UInt64;
            document @1 :Data;
        }
        view @2 :HistoryView;   # Takes effect where its version follows the one in force.
        retire @3 :Text;        # Name of a history instance that is to be emptied.
        addVersions @4 :List(ServiceVersion);    # Committed before a list with such endpoints is handed out.
        removeVersions @5 :List(ServiceVersion);
        evacuation :group {     # Begins or ends the evacuation of a data centre.
            dataCentre @6 :Text;
            active @7 :Bool;
        }
        strikes :group {        # Members before this command skip it.
            recorded @8 :List(StrikeRecord);
            cleared @9 :List(UInt64);   # Fingerprints whose strikes are forgotten, after `recorded`.
        }
    }
}

struct DeploymentState {
    configurationVersion @0 :UInt64;
    document @1 :Data;
    view @2 :HistoryView;
    retiring @3 :List(Text);
    endpointVersions @4 :List(ServiceVersion);
    evacuated @5 :List(Text);   # Data centres whose endpoints must get no request.
    strikes @6 :List(StrikeRecord);
}
