"""Capacity model behind docs/CAPACITY.md: the required load, assumptions where the requirements give no figure, and the
resource use of each role, computed from the unit costs ("slopes") measured by bench/capacity_bench."""

SECONDS_PER_DAY = 86400.0
MB = 1024.0 * 1024.0
KB = 1024.0

# Required load, and the budget of each daemon.
DAEMONS, REPLICAS, TENANTS, PROGRAMS = 350, 12000, 23000, 560000
REQUESTS_PER_S, TOKENS_PER_S, CHANGES_PER_S = 15000.0, 5.6e6, 23000 / SECONDS_PER_DAY
TURNS_PER_PROGRAM, HISTORY_TOKENS, REGIONS, DATA_CENTRES, RESERVED_INSTANCES = 88, 130000, 5, 13, 43
FIRST_TOKEN_S, SECONDS_PER_TOKEN, DAILY_RESTARTS = 0.54, 0.038, 150 + 650
DAEMON_CPU_PERCENT, DAEMON_MEMORY_MB, DAEMON_NETWORK_KB_PER_S = 1.3, 32.0, 16.0

# Assumptions where the requirements give no figure.
BYTES_PER_TOKEN = 4.0
MEAN_HISTORY_SHARE = 0.5    # mean length of a history as a fraction of the longest
INTENT_SHARE = 0.2          # fraction of calls that are non-idempotent and journal an intent first
MEMBER_MEMORY_MB = 2048.0   # memory of an instance with a disk
MEMBER_CPU_SHARE = 0.5      # fraction of a core that a member may use in steady state
# Fraction of admissions and permits served locally once the directory directs clients to their customer's owner.
LOCAL_SHARE = 0.9
FLEET_MEMBERS = 5           # one per region
REPLICATION = 3             # members of a journal group

# Must match the constants in the C++ code.
SYNC_PERIOD_S, LIST_PERIOD_S = 0.25, 0.3


def fmt(value):
    """Formats a value with three significant digits, or as a whole number from 1000 upwards."""
    if value >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def budget_verdict(value, bound):
    return "met" if value <= bound else f"**not met**, {fmt(value / bound)} x"


class Model:
    def __init__(self, slopes):
        self.slopes = slopes
        self.figures, self.tables = {}, {}
        self.compute_load()
        self.compute_entry()
        self.compute_fleet_group()
        self.compute_journal_groups()
        self.compute_relay_and_ctl()
        self.compute_limits()
        self.list_slopes()

    def add_figure(self, name, value):
        self.figures[name] = fmt(value)
        return value

    def compute_load(self):
        self.request_rate = REQUESTS_PER_S / DAEMONS
        self.stream_seconds = FIRST_TOKEN_S + TOKENS_PER_S / REQUESTS_PER_S * SECONDS_PER_TOKEN
        self.streams = self.request_rate * self.stream_seconds
        self.programs = PROGRAMS / DAEMONS
        self.history_bytes = HISTORY_TOKENS * BYTES_PER_TOKEN * MEAN_HISTORY_SHARE
        self.turn_bytes = HISTORY_TOKENS * BYTES_PER_TOKEN / TURNS_PER_PROGRAM
        self.tables["load"] = [
            ["of one daemon", "arithmetic", "result"],
            ["requests", f"{fmt(REQUESTS_PER_S)}/s / {DAEMONS}", f"{fmt(self.request_rate)}/s"],
            ["open streams", f"{fmt(self.request_rate)}/s x ({FIRST_TOKEN_S} s + {fmt(TOKENS_PER_S / REQUESTS_PER_S)} tokens x {SECONDS_PER_TOKEN} s)",
             fmt(self.streams)],
            ["programs under way", f"{fmt(PROGRAMS)} / {DAEMONS}", fmt(self.programs)],
            ["history of a program", f"{fmt(HISTORY_TOKENS)} tokens x {fmt(BYTES_PER_TOKEN)} bytes x {MEAN_HISTORY_SHARE}",
             f"{fmt(self.history_bytes / KB)} KB"],
            ["bytes a turn adds", f"{fmt(HISTORY_TOKENS)} tokens x {fmt(BYTES_PER_TOKEN)} bytes / {TURNS_PER_PROGRAM} turns",
             f"{fmt(self.turn_bytes / KB)} KB"],
            ["changes of configuration", f"23,000 / {fmt(SECONDS_PER_DAY)} s", f"{fmt(CHANGES_PER_S)}/s"],
        ]

    def compute_entry(self):
        slopes = self.slopes
        idle_bytes = slopes["entry_idle_resident_bytes"]
        tenant_bytes = slopes["tenant_state_bytes"] + slopes["key_state_bytes"] + slopes["view_tenant_bytes"]
        self.entry_memory = (idle_bytes + TENANTS * tenant_bytes + DAEMONS * slopes["entry_state_bytes"]) / MB
        self.tenant_bytes, self.idle_bytes = tenant_bytes, idle_bytes
        regional_memory = (idle_bytes + TENANTS / REGIONS * tenant_bytes + DAEMONS * slopes["entry_state_bytes"]) / MB
        admission_us = slopes["admit_us_both_ends_batch_1"]
        admission_cpu = self.request_rate * admission_us / 1e4
        permit_cpu = 2 * admission_cpu
        view_cpu = CHANGES_PER_S * slopes["view_change_us"] / 1e4
        idle_cpu = slopes["entry_idle_core_percent"]
        self.entry_cpu = idle_cpu + admission_cpu + permit_cpu + view_cpu
        listing_cpu = REPLICAS * slopes["list_us_per_endpoint"] / LIST_PERIOD_S / 1e4
        admission_bytes = slopes["admit_wire_bytes_batch_1"]
        admit_kb = 2 * self.request_rate * admission_bytes / KB
        permit_kb = 2 * admit_kb
        sync_kb = slopes["entry_idle_bytes_per_s"] / KB
        change_kb = CHANGES_PER_S * slopes["delta_one_bytes"] / KB
        self.entry_kb = admit_kb + permit_kb + sync_kb + change_kb
        self.list_kb = REPLICAS * slopes["list_bytes_per_endpoint"] / LIST_PERIOD_S / KB
        self.steered_kb = (admit_kb + permit_kb) * (1 - LOCAL_SHARE) + sync_kb + change_kb
        self.tables["entry"] = [
            ["line", "arithmetic", "result", "mechanism"],
            ["memory, fleet copy", f"{fmt(idle_bytes / MB)} MB idle + {fmt(TENANTS)} x {fmt(tenant_bytes)} bytes + {DAEMONS} x "
             f"{fmt(slopes['entry_state_bytes'])} bytes", f"{fmt(self.entry_memory)} MB", "whole copy of tenants and keys"],
            ["the same with the tenants of its region", f"{fmt(idle_bytes / MB)} MB + {fmt(TENANTS / REGIONS)} x {fmt(tenant_bytes)} bytes + …",
             f"{fmt(regional_memory)} MB", "subsetting: tenants homed in a region"],
            ["processor, idle", "leases, polls, timers; measured", f"{fmt(idle_cpu)} %", "one read does lease, heartbeat and delta"],
            ["processor, views", f"{fmt(CHANGES_PER_S)}/s x {fmt(slopes['view_change_us'] / 1e3)} ms", f"{fmt(view_cpu)} %", "changed rows parsed alone"],
            ["processor, admission", f"{fmt(self.request_rate)}/s x {fmt(admission_us)} µs (asked and answered)", f"{fmt(admission_cpu)} %",
             "bucket of a tenant at one owner; questions batched"],
            ["processor, permits", f"2 x {fmt(self.request_rate)}/s x {fmt(admission_us)} µs (permit and release, as an admission costs)", f"{fmt(permit_cpu)} %",
             "programs homed at their dispatcher make most of these local"],
            ["network, leases and deltas", "measured idle + changes", f"{fmt(sync_kb + change_kb)} KB/s", "deltas by index"],
            ["network, admission and permits", f"3 x 2 x {fmt(self.request_rate)}/s x {fmt(admission_bytes)} bytes", f"{fmt(admit_kb + permit_kb)} KB/s",
             f"none yet; steered callers: {fmt((admit_kb + permit_kb) * (1 - LOCAL_SHARE))} KB/s"],
            ["network, endpoint list", f"{fmt(REPLICAS)} x {fmt(slopes['list_bytes_per_endpoint'])} bytes / {LIST_PERIOD_S} s",
             f"{fmt(self.list_kb)} KB/s", "none yet; the leader is to read the list and send deltas"],
            ["processor, endpoint list", f"{fmt(REPLICAS)} x {fmt(slopes['list_us_per_endpoint'])} µs / {LIST_PERIOD_S} s", f"{fmt(listing_cpu)} %",
             "as above"],
            ["traffic: processor", f"{fmt(self.request_rate)}/s x {fmt(slopes['call_entry_us'] / 1e3)} ms a call",
             f"{fmt(self.request_rate * slopes['call_entry_us'] / 1e4)} %", "a thread for each connection"],
            ["traffic: open streams", f"{fmt(self.streams)} x {fmt(slopes['connection_resident_bytes'] / KB)} KB",
             f"{fmt(self.streams * slopes['connection_resident_bytes'] / MB)} MB", "small stacks"],
            ["traffic: histories", f"{fmt(self.programs)} x {fmt(self.history_bytes / KB)} KB", f"{fmt(self.programs * self.history_bytes / MB)} MB",
             "owner's copy; history of paused programs read back from the journal on the next call"],
        ]
        self.compute_entry_budget(listing_cpu)
        self.add_figure("entry_regional_mb", regional_memory)
        self.add_figure("entry_memory_mb", self.entry_memory)
        self.add_figure("list_kb", self.list_kb)

    def compute_entry_budget(self, listing_cpu):
        self.tables["budget"] = [
            ["budget of a daemon", "worked out", "verdict"],
            [f"{DAEMON_CPU_PERCENT} % of a core", f"{fmt(self.entry_cpu)} % without the endpoint list", budget_verdict(self.entry_cpu, DAEMON_CPU_PERCENT)],
            ["", f"{fmt(self.entry_cpu + listing_cpu)} % with it", budget_verdict(self.entry_cpu + listing_cpu, DAEMON_CPU_PERCENT)],
            [f"{fmt(DAEMON_MEMORY_MB)} MB", f"{fmt(self.entry_memory)} MB with all tenants", budget_verdict(self.entry_memory, DAEMON_MEMORY_MB)],
            [f"{fmt(DAEMON_NETWORK_KB_PER_S)} KB/s", f"{fmt(self.entry_kb)} KB/s without the endpoint list", budget_verdict(self.entry_kb, DAEMON_NETWORK_KB_PER_S)],
            ["", f"{fmt(self.entry_kb + self.list_kb)} KB/s with it", budget_verdict(self.entry_kb + self.list_kb, DAEMON_NETWORK_KB_PER_S)],
            ["", f"{fmt(self.steered_kb)} KB/s without it, callers steered (to come)", budget_verdict(self.steered_kb, DAEMON_NETWORK_KB_PER_S)],
            [f"{RESERVED_INSTANCES} instances", f"{FLEET_MEMBERS} + {RESERVED_INSTANCES - FLEET_MEMBERS}, once histories are on disk and journal groups "
             "built (to come)", "**not met** today: one journal group"],
        ]

    def compute_fleet_group(self):
        slopes = self.slopes
        syncs_per_s = DAEMONS / SYNC_PERIOD_S
        sync_us = slopes["admit_us_both_ends_batch_1"] / 2 + slopes["delta_empty_us"]
        changes_us = CHANGES_PER_S * DAEMONS * slopes["delta_one_us"]
        self.sync_percent = (syncs_per_s * sync_us + changes_us) / 1e4
        self.syncs_per_s, self.sync_us = syncs_per_s, sync_us
        snapshots_per_s = DAILY_RESTARTS / SECONDS_PER_DAY
        snapshot_bytes = TENANTS * slopes["snapshot_tenant_bytes"]
        daemons_per_centre = DAEMONS / DATA_CENTRES
        memory = (slopes["control_idle_resident_bytes"] + TENANTS * (slopes["tenant_state_bytes"] + slopes["key_state_bytes"])) / MB
        self.tables["fleet"] = [
            ["line", "arithmetic", "result", "mechanism"],
            ["state", f"{fmt(slopes['control_idle_resident_bytes'] / MB)} MB idle + {fmt(TENANTS)} x "
             f"{fmt(slopes['tenant_state_bytes'] + slopes['key_state_bytes'])} bytes", f"{fmt(memory)} MB", "one group of "
             f"{FLEET_MEMBERS} members, one in each region"],
            ["reads", f"{DAEMONS} / {SYNC_PERIOD_S} s", f"{fmt(syncs_per_s)}/s", "lease renewal, heartbeat and delta in one; quorum round shared"],
            ["processor, reads", f"{fmt(syncs_per_s)}/s x {fmt(sync_us)} µs + {fmt(CHANGES_PER_S)}/s x {DAEMONS} x {fmt(slopes['delta_one_us'])} µs",
             f"{fmt(self.sync_percent)} % of a core", "changes indexed by log index"],
            ["network, reads", f"{DAEMONS} x {fmt(slopes['entry_idle_bytes_per_s'])} bytes/s", f"{fmt(DAEMONS * slopes['entry_idle_bytes_per_s'] / KB)} KB/s",
             "delta tree of a relay in each data centre, past one leader's reach"],
            ["network, changes", f"{fmt(CHANGES_PER_S)}/s x {DAEMONS} x {fmt(slopes['delta_one_bytes'])} bytes",
             f"{fmt(CHANGES_PER_S * DAEMONS * slopes['delta_one_bytes'] / KB)} KB/s", "as above"],
            ["writes", f"{fmt(CHANGES_PER_S)}/s changes + {DAILY_RESTARTS} leases a day", f"{fmt(CHANGES_PER_S + snapshots_per_s)}/s", "group commit"],
            ["processor, writes", f"{fmt(CHANGES_PER_S)}/s x {fmt(slopes['change_apply_us'] + slopes['log_append_us'])} µs + {DAILY_RESTARTS} x "
             f"{fmt(slopes['lease_grant_us'])} µs a day", f"{fmt((CHANGES_PER_S * (slopes['change_apply_us'] + slopes['log_append_us']) + snapshots_per_s * slopes['lease_grant_us']) / 1e4)} %",
             "checked once, by the state machine"],
            ["whole copies", f"{DAILY_RESTARTS} a day x {fmt(snapshot_bytes / MB)} MB", f"{fmt(snapshots_per_s * snapshot_bytes / KB)} KB/s", "any member that confirms may send them"],
            ["a data centre restarts at once", f"{fmt(daemons_per_centre)} daemons x {fmt(snapshot_bytes / MB)} MB", f"{fmt(daemons_per_centre * snapshot_bytes / MB)} MB, "
             f"{fmt(daemons_per_centre * TENANTS * slopes['snapshot_us_per_tenant'] / 1e6)} s of a core", "as above"],
        ]
        self.add_figure("sync_percent", self.sync_percent)
        self.add_figure("snapshot_mb", snapshot_bytes / MB)
        self.add_figure("restore_ms", TENANTS * slopes["restore_us_per_tenant"] / 1e3)

    def compute_journal_groups(self):
        slopes = self.slopes
        writes_per_s = REQUESTS_PER_S * (1 + INTENT_SHARE)
        record_bytes = slopes["journal_write_bytes"] + self.turn_bytes * slopes["journal_write_bytes_per_byte"]
        total_bytes = PROGRAMS * (slopes["program_state_bytes"] + TURNS_PER_PROGRAM * MEAN_HISTORY_SHARE * slopes["call_state_bytes"]
                            + self.history_bytes * slopes["history_state_bytes_per_byte"])
        resident_bytes = PROGRAMS * (slopes["program_state_bytes"] + TURNS_PER_PROGRAM * MEAN_HISTORY_SHARE * slopes["call_state_bytes"])
        members = RESERVED_INSTANCES - FLEET_MEMBERS
        leader_us = slopes["call_control_us"] / (1 + INTENT_SHARE)
        follower_us = slopes["admit_us_both_ends_batch_1"] / 2 + slopes["log_append_us"] + slopes["journal_apply_us"]
        group_count = members
        member_writes = writes_per_s / group_count
        member_cpu = member_writes * (leader_us + (REPLICATION - 1) * follower_us) / 1e4
        self.journal_memory = total_bytes * REPLICATION / members / MB
        self.journal_resident = resident_bytes * REPLICATION / members / MB
        disk_mb_per_s = REPLICATION * writes_per_s * record_bytes / members / MB
        self.tables["journal"] = [
            ["line", "arithmetic", "result", "mechanism"],
            ["writes of the fleet", f"{fmt(REQUESTS_PER_S)}/s x (1 + {INTENT_SHARE} intents)", f"{fmt(writes_per_s)}/s", "budgets taken in blocks, so no write of their own"],
            ["groups", f"{RESERVED_INSTANCES} set aside - {FLEET_MEMBERS} of the fleet group, one group led by each", f"{group_count}",
             f"journal groups; {fmt(1024 / group_count)} slots in each"],
            ["writes of a member", f"{fmt(writes_per_s)}/s / {group_count}, led; twice that followed", f"{fmt(member_writes)}/s", "group commit: one sync a batch"],
            ["processor of a member", f"{fmt(member_writes)}/s x ({fmt(leader_us)} µs + {REPLICATION - 1} x {fmt(follower_us)} µs)",
             f"{fmt(member_cpu)} % of a core", "leaders spread over members"],
            ["log of a member", f"{REPLICATION} x {fmt(writes_per_s)}/s x {fmt(record_bytes / KB)} KB / {members}", f"{fmt(disk_mb_per_s)} MB/s to disk",
             "log compaction into versioned chunks"],
            ["state in memory, as today", f"{fmt(PROGRAMS)} x {fmt(total_bytes / PROGRAMS / KB)} KB x {REPLICATION} / {members}",
             f"{fmt(self.journal_memory)} MB", "none: histories are held in memory"],
            ["state in memory, history on disk", f"{fmt(PROGRAMS)} x {fmt(resident_bytes / PROGRAMS / KB)} KB x {REPLICATION} / {members}",
             f"{fmt(self.journal_resident)} MB", "snapshots of history on disk; memory holds digests and offsets"],
        ]
        self.add_figure("journal_member_percent", member_cpu)
        self.add_figure("groups", group_count)
        self.add_figure("region_requests", REQUESTS_PER_S / REGIONS)
        self.add_figure("centre_daemons", DAEMONS / DATA_CENTRES)
        self.add_figure("centre_replicas", REPLICAS / DATA_CENTRES)
        self.add_figure("centre_slots", 1024 / DATA_CENTRES)
        self.add_figure("centre_programs", PROGRAMS / DATA_CENTRES)
        self.add_figure("failure_period_s", SECONDS_PER_DAY / DAILY_RESTARTS)
        self.add_figure("daemon_slots", 1024 / DAEMONS)
        self.add_figure("pair_rate", self.request_rate / DAEMONS)
        self.add_figure("local_percent", LOCAL_SHARE * 100)
        self.add_figure("steered_kb", self.steered_kb)
        self.add_figure("fleet_members", FLEET_MEMBERS)
        self.add_figure("journal_memory_mb", self.journal_memory)
        self.add_figure("journal_resident_mb", self.journal_resident)
        self.writes_per_s, self.record_bytes, self.leader_us = writes_per_s, record_bytes, leader_us
        self.program_bytes = total_bytes / PROGRAMS

    def compute_relay_and_ctl(self):
        slopes = self.slopes
        snapshot_bytes = TENANTS * slopes["snapshot_tenant_bytes"]
        max_daemons = MEMBER_CPU_SHARE * 1e6 / self.sync_us * SYNC_PERIOD_S
        self.add_figure("reach_daemons", max_daemons)
        self.tables["relay"] = [
            ["line", "arithmetic", "result", "mechanism"],
            ["daemons one leader serves", f"{MEMBER_CPU_SHARE} core / {fmt(self.sync_us)} µs x {SYNC_PERIOD_S} s", fmt(max_daemons), "delta tree beyond this"],
            ["reads of the leader with relays", f"{DATA_CENTRES} / {SYNC_PERIOD_S} s", f"{fmt(DATA_CENTRES / SYNC_PERIOD_S)}/s", "a relay in each data centre"],
            ["reads of a relay", f"{DAEMONS} / {DATA_CENTRES} / {SYNC_PERIOD_S} s", f"{fmt(DAEMONS / DATA_CENTRES / SYNC_PERIOD_S)}/s",
             "age of a relayed read counts from when the relay asked"],
        ]
        self.tables["ctl"] = [
            ["line", "arithmetic", "result", "mechanism"],
            ["one apply", f"reads the whole state, {fmt(TENANTS)} x {fmt(slopes['snapshot_tenant_bytes'])} bytes", f"{fmt(snapshot_bytes / MB)} MB",
             "none yet; reading only the named sections is to come"],
            ["all changes of a day", f"{fmt(CHANGES_PER_S)}/s x {fmt(snapshot_bytes / MB)} MB", f"{fmt(CHANGES_PER_S * snapshot_bytes / KB)} KB/s from the leader", "as above"],
            ["processor at the leader", f"{fmt(CHANGES_PER_S)}/s x {fmt(TENANTS * slopes['snapshot_us_per_tenant'] / 1e3)} ms",
             f"{fmt(CHANGES_PER_S * TENANTS * slopes['snapshot_us_per_tenant'] / 1e4)} %", "as above"],
        ]

    def compute_limits(self):
        slopes = self.slopes
        max_tenants = (DAEMON_MEMORY_MB * MB - self.idle_bytes) / self.tenant_bytes
        limits = [
            ("endpoint list, whole, to each daemon", "endpoints", DAEMON_NETWORK_KB_PER_S * KB * LIST_PERIOD_S / slopes["list_bytes_per_endpoint"], REPLICAS,
             "the fleet leader reads it and sends deltas"),
            ("histories in memory, one journal group", "programs", MEMBER_MEMORY_MB * MB / self.program_bytes, PROGRAMS,
             "history on disk, then journal groups"),
            ("one journal leader's processor", "writes/s", MEMBER_CPU_SHARE * 1e6 / self.leader_us, self.writes_per_s, "journal groups; batches"),
            ("one sync a batch of one, one journal group", "writes/s", 1e6 / slopes["log_sync_wall_us"], self.writes_per_s,
             "larger batches by group commit (today), journal groups"),
            ("an entry's copy of all tenants in 32 MB", "tenants", max_tenants, TENANTS, "subsetting by region"),
            ("reads at one fleet leader", "daemons", MEMBER_CPU_SHARE * 1e6 / self.sync_us * SYNC_PERIOD_S, DAEMONS, "delta tree"),
            ("view at each change, all of the processor budget", "changes/s", DAEMON_CPU_PERCENT * 1e4 / slopes["view_change_us"], CHANGES_PER_S, "changed rows alone"),
        ]
        limits.sort(key=lambda line: line[2] / line[3])
        self.tables["breaks"] = [["what", "holds up to", "target", "share of the target", "what then"]]
        for what, unit, limit, target, remedy in limits:
            share = f"{fmt(100 * limit / target)} %" + ("" if limit >= target else ", **breaks**")
            self.tables["breaks"].append([what, f"{fmt(limit)} {unit}", fmt(target), share, remedy])

    def list_slopes(self):
        self.tables["slopes"] = [["slope", "value"]] + [[f"`{name}`", fmt(value)] for name, value in self.slopes.items()]
