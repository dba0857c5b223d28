"""The arithmetic of docs/CAPACITY.md: the target of letter 1, what is assumed where the letter is silent, and each
role's lines from the slopes of bench/capacity_bench."""

DAY = 86400.0
MB = 1024.0 * 1024.0
KB = 1024.0

# The letter's target.
DAEMONS, REPLICAS, TENANTS, PROGRAMS = 350, 12000, 23000, 560000
REQUESTS, TOKENS, CHANGES = 15000.0, 5.6e6, 23000 / DAY
TURNS, HISTORY_TOKENS, REGIONS, CENTRES, SET_ASIDE = 88, 130000, 5, 13, 43
FIRST_TOKEN_S, TOKEN_S, DAILY_RESTARTS = 0.54, 0.038, 150 + 650
CORE_PERCENT, MEMORY_MB, BYTES_KB = 1.3, 32.0, 16.0

# Assumed, where the letter gives no figure.
BYTES_A_TOKEN = 4.0
MEAN_HISTORY = 0.5          # of the longest
INTENT_SHARE = 0.2          # of calls that are non-idempotent and journal an intent first
MEMBER_MEMORY_MB = 2048.0   # of an instance with a disk
BUSY_SHARE = 0.5            # of a core that a member may use in steady state
LOCAL_SHARE = 0.9           # of admissions and permits, once the directory steers callers to their tenant's owner
FLEET_MEMBERS = 5           # one in each region
REPLICATION = 3             # members of a journal group

# Constants of the code.
SYNC_PERIOD_S, LIST_PERIOD_S = 0.25, 0.3


def number(value):
    """Three significant digits, without exponents."""
    if value >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def met(value, bound):
    return "met" if value <= bound else f"**not met**, {number(value / bound)} x"


class Model:
    def __init__(self, slopes):
        self.s = slopes
        self.figures, self.tables = {}, {}
        self.load()
        self.entry()
        self.fleet_group()
        self.journal_groups()
        self.relay_and_ctl()
        self.breaks()
        self.slopes_table()

    def put(self, name, value):
        self.figures[name] = number(value)
        return value

    def load(self):
        self.rate = REQUESTS / DAEMONS
        self.stream_s = FIRST_TOKEN_S + TOKENS / REQUESTS * TOKEN_S
        self.streams = self.rate * self.stream_s
        self.programs = PROGRAMS / DAEMONS
        self.history = HISTORY_TOKENS * BYTES_A_TOKEN * MEAN_HISTORY
        self.turn_bytes = HISTORY_TOKENS * BYTES_A_TOKEN / TURNS
        self.tables["load"] = [
            ["of one daemon", "arithmetic", "result"],
            ["requests", f"{number(REQUESTS)}/s / {DAEMONS}", f"{number(self.rate)}/s"],
            ["open streams", f"{number(self.rate)}/s x ({FIRST_TOKEN_S} s + {number(TOKENS / REQUESTS)} tokens x {TOKEN_S} s)",
             number(self.streams)],
            ["programs under way", f"{number(PROGRAMS)} / {DAEMONS}", number(self.programs)],
            ["history of a program", f"{number(HISTORY_TOKENS)} tokens x {number(BYTES_A_TOKEN)} bytes x {MEAN_HISTORY}",
             f"{number(self.history / KB)} KB"],
            ["bytes a turn adds", f"{number(HISTORY_TOKENS)} tokens x {number(BYTES_A_TOKEN)} bytes / {TURNS} turns",
             f"{number(self.turn_bytes / KB)} KB"],
            ["changes of configuration", f"23,000 / {number(DAY)} s", f"{number(CHANGES)}/s"],
        ]

    def entry(self):
        s = self.s
        base = s["entry_idle_resident_bytes"]
        per_tenant = s["tenant_state_bytes"] + s["key_state_bytes"] + s["view_tenant_bytes"]
        self.entry_memory = (base + TENANTS * per_tenant + DAEMONS * s["entry_state_bytes"]) / MB
        self.per_tenant, self.base = per_tenant, base
        regional = (base + TENANTS / REGIONS * per_tenant + DAEMONS * s["entry_state_bytes"]) / MB
        ask = s["admit_us_both_ends_batch_1"]
        admit = self.rate * ask / 1e4
        permit = 2 * admit
        view = CHANGES * s["view_change_us"] / 1e4
        idle = s["entry_idle_core_percent"]
        self.entry_cpu = idle + admit + permit + view
        listing_cpu = REPLICAS * s["list_us_per_endpoint"] / LIST_PERIOD_S / 1e4
        ask_bytes = s["admit_wire_bytes_batch_1"]
        admit_kb = 2 * self.rate * ask_bytes / KB
        permit_kb = 2 * admit_kb
        sync_kb = s["entry_idle_bytes_per_s"] / KB
        change_kb = CHANGES * s["delta_one_bytes"] / KB
        self.entry_kb = admit_kb + permit_kb + sync_kb + change_kb
        self.list_kb = REPLICAS * s["list_bytes_per_endpoint"] / LIST_PERIOD_S / KB
        self.steered_kb = (admit_kb + permit_kb) * (1 - LOCAL_SHARE) + sync_kb + change_kb
        self.tables["entry"] = [
            ["line", "arithmetic", "result", "mechanism"],
            ["memory, fleet copy", f"{number(base / MB)} MB idle + {number(TENANTS)} x {number(per_tenant)} bytes + {DAEMONS} x "
             f"{number(s['entry_state_bytes'])} bytes", f"{number(self.entry_memory)} MB", "whole copy of tenants and keys"],
            ["the same with the tenants of its region", f"{number(base / MB)} MB + {number(TENANTS / REGIONS)} x {number(per_tenant)} bytes + …",
             f"{number(regional)} MB", "subsetting: tenants homed in a region"],
            ["processor, idle", "leases, polls, timers; measured", f"{number(idle)} %", "one read does lease, heartbeat and delta"],
            ["processor, views", f"{number(CHANGES)}/s x {number(s['view_change_us'] / 1e3)} ms", f"{number(view)} %", "changed rows parsed alone"],
            ["processor, admission", f"{number(self.rate)}/s x {number(ask)} µs (asked and answered)", f"{number(admit)} %",
             "bucket of a tenant at one owner; questions batched"],
            ["processor, permits", f"2 x {number(self.rate)}/s x {number(ask)} µs (permit and release, as an admission costs)", f"{number(permit)} %",
             "programs homed at their dispatcher make most of these local"],
            ["network, leases and deltas", "measured idle + changes", f"{number(sync_kb + change_kb)} KB/s", "deltas by index"],
            ["network, admission and permits", f"3 x 2 x {number(self.rate)}/s x {number(ask_bytes)} bytes", f"{number(admit_kb + permit_kb)} KB/s",
             f"none yet; steered callers: {number((admit_kb + permit_kb) * (1 - LOCAL_SHARE))} KB/s"],
            ["network, endpoint list", f"{number(REPLICAS)} x {number(s['list_bytes_per_endpoint'])} bytes / {LIST_PERIOD_S} s",
             f"{number(self.list_kb)} KB/s", "none yet; the leader is to read the list and send deltas"],
            ["processor, endpoint list", f"{number(REPLICAS)} x {number(s['list_us_per_endpoint'])} µs / {LIST_PERIOD_S} s", f"{number(listing_cpu)} %",
             "as above"],
            ["traffic: processor", f"{number(self.rate)}/s x {number(s['call_entry_us'] / 1e3)} ms a call",
             f"{number(self.rate * s['call_entry_us'] / 1e4)} %", "a thread for each connection"],
            ["traffic: open streams", f"{number(self.streams)} x {number(s['connection_resident_bytes'] / KB)} KB",
             f"{number(self.streams * s['connection_resident_bytes'] / MB)} MB", "small stacks"],
            ["traffic: histories", f"{number(self.programs)} x {number(self.history / KB)} KB", f"{number(self.programs * self.history / MB)} MB",
             "owner's copy; history of paused programs read back from the journal on the next call"],
        ]
        self.entry_budget(listing_cpu)
        self.put("entry_regional_mb", regional)
        self.put("entry_memory_mb", self.entry_memory)
        self.put("list_kb", self.list_kb)

    def entry_budget(self, listing_cpu):
        self.tables["budget"] = [
            ["budget of a daemon", "worked out", "verdict"],
            [f"{CORE_PERCENT} % of a core", f"{number(self.entry_cpu)} % without the endpoint list", met(self.entry_cpu, CORE_PERCENT)],
            ["", f"{number(self.entry_cpu + listing_cpu)} % with it", met(self.entry_cpu + listing_cpu, CORE_PERCENT)],
            [f"{number(MEMORY_MB)} MB", f"{number(self.entry_memory)} MB with all tenants", met(self.entry_memory, MEMORY_MB)],
            [f"{number(BYTES_KB)} KB/s", f"{number(self.entry_kb)} KB/s without the endpoint list", met(self.entry_kb, BYTES_KB)],
            ["", f"{number(self.entry_kb + self.list_kb)} KB/s with it", met(self.entry_kb + self.list_kb, BYTES_KB)],
            ["", f"{number(self.steered_kb)} KB/s without it, callers steered (to come)", met(self.steered_kb, BYTES_KB)],
            [f"{SET_ASIDE} instances", f"{FLEET_MEMBERS} + {SET_ASIDE - FLEET_MEMBERS}, once histories are on disk and journal groups "
             "built (to come)", "**not met** today: one journal group"],
        ]

    def fleet_group(self):
        s = self.s
        syncs = DAEMONS / SYNC_PERIOD_S
        sync_us = s["admit_us_both_ends_batch_1"] / 2 + s["delta_empty_us"]
        changed_us = CHANGES * DAEMONS * s["delta_one_us"]
        self.sync_percent = (syncs * sync_us + changed_us) / 1e4
        self.syncs, self.sync_us = syncs, sync_us
        copies = DAILY_RESTARTS / DAY
        snapshot = TENANTS * s["snapshot_tenant_bytes"]
        centre = DAEMONS / CENTRES
        memory = (s["control_idle_resident_bytes"] + TENANTS * (s["tenant_state_bytes"] + s["key_state_bytes"])) / MB
        self.tables["fleet"] = [
            ["line", "arithmetic", "result", "mechanism"],
            ["state", f"{number(s['control_idle_resident_bytes'] / MB)} MB idle + {number(TENANTS)} x "
             f"{number(s['tenant_state_bytes'] + s['key_state_bytes'])} bytes", f"{number(memory)} MB", "one group of "
             f"{FLEET_MEMBERS} members, one in each region"],
            ["reads", f"{DAEMONS} / {SYNC_PERIOD_S} s", f"{number(syncs)}/s", "lease renewal, heartbeat and delta in one; quorum round shared"],
            ["processor, reads", f"{number(syncs)}/s x {number(sync_us)} µs + {number(CHANGES)}/s x {DAEMONS} x {number(s['delta_one_us'])} µs",
             f"{number(self.sync_percent)} % of a core", "changes indexed by log index"],
            ["network, reads", f"{DAEMONS} x {number(s['entry_idle_bytes_per_s'])} bytes/s", f"{number(DAEMONS * s['entry_idle_bytes_per_s'] / KB)} KB/s",
             "delta tree of a relay in each data centre, past one leader's reach"],
            ["network, changes", f"{number(CHANGES)}/s x {DAEMONS} x {number(s['delta_one_bytes'])} bytes",
             f"{number(CHANGES * DAEMONS * s['delta_one_bytes'] / KB)} KB/s", "as above"],
            ["writes", f"{number(CHANGES)}/s changes + {DAILY_RESTARTS} leases a day", f"{number(CHANGES + copies)}/s", "group commit"],
            ["processor, writes", f"{number(CHANGES)}/s x {number(s['change_apply_us'] + s['log_append_us'])} µs + {DAILY_RESTARTS} x "
             f"{number(s['lease_grant_us'])} µs a day", f"{number((CHANGES * (s['change_apply_us'] + s['log_append_us']) + copies * s['lease_grant_us']) / 1e4)} %",
             "checked once, by the state machine"],
            ["whole copies", f"{DAILY_RESTARTS} a day x {number(snapshot / MB)} MB", f"{number(copies * snapshot / KB)} KB/s", "any member that confirms may send them"],
            ["a data centre restarts at once", f"{number(centre)} daemons x {number(snapshot / MB)} MB", f"{number(centre * snapshot / MB)} MB, "
             f"{number(centre * TENANTS * s['snapshot_us_per_tenant'] / 1e6)} s of a core", "as above"],
        ]
        self.put("sync_percent", self.sync_percent)
        self.put("snapshot_mb", snapshot / MB)
        self.put("restore_ms", TENANTS * s["restore_us_per_tenant"] / 1e3)

    def journal_groups(self):
        s = self.s
        writes = REQUESTS * (1 + INTENT_SHARE)
        record = s["journal_write_bytes"] + self.turn_bytes * s["journal_write_bytes_per_byte"]
        total = PROGRAMS * (s["program_state_bytes"] + TURNS * MEAN_HISTORY * s["call_state_bytes"]
                            + self.history * s["history_state_bytes_per_byte"])
        resident = PROGRAMS * (s["program_state_bytes"] + TURNS * MEAN_HISTORY * s["call_state_bytes"])
        members = SET_ASIDE - FLEET_MEMBERS
        leader_us = s["call_control_us"] / (1 + INTENT_SHARE)
        follower_us = s["admit_us_both_ends_batch_1"] / 2 + s["log_append_us"] + s["journal_apply_us"]
        groups = members
        per_member = writes / groups
        cpu = per_member * (leader_us + (REPLICATION - 1) * follower_us) / 1e4
        self.journal_memory = total * REPLICATION / members / MB
        self.journal_resident = resident * REPLICATION / members / MB
        disk = REPLICATION * writes * record / members / MB
        self.tables["journal"] = [
            ["line", "arithmetic", "result", "mechanism"],
            ["writes of the fleet", f"{number(REQUESTS)}/s x (1 + {INTENT_SHARE} intents)", f"{number(writes)}/s", "budgets taken in blocks, so no write of their own"],
            ["groups", f"{SET_ASIDE} set aside - {FLEET_MEMBERS} of the fleet group, one group led by each", f"{groups}",
             f"journal groups; {number(1024 / groups)} slots in each"],
            ["writes of a member", f"{number(writes)}/s / {groups}, led; twice that followed", f"{number(per_member)}/s", "group commit: one sync a batch"],
            ["processor of a member", f"{number(per_member)}/s x ({number(leader_us)} µs + {REPLICATION - 1} x {number(follower_us)} µs)",
             f"{number(cpu)} % of a core", "leaders spread over members"],
            ["log of a member", f"{REPLICATION} x {number(writes)}/s x {number(record / KB)} KB / {members}", f"{number(disk)} MB/s to disk",
             "log compaction into versioned chunks"],
            ["state in memory, as today", f"{number(PROGRAMS)} x {number(total / PROGRAMS / KB)} KB x {REPLICATION} / {members}",
             f"{number(self.journal_memory)} MB", "none: histories are held in memory"],
            ["state in memory, history on disk", f"{number(PROGRAMS)} x {number(resident / PROGRAMS / KB)} KB x {REPLICATION} / {members}",
             f"{number(self.journal_resident)} MB", "snapshots of history on disk; memory holds digests and offsets"],
        ]
        self.put("journal_member_percent", cpu)
        self.put("groups", groups)
        self.put("region_requests", REQUESTS / REGIONS)
        self.put("centre_daemons", DAEMONS / CENTRES)
        self.put("centre_replicas", REPLICAS / CENTRES)
        self.put("centre_slots", 1024 / CENTRES)
        self.put("centre_programs", PROGRAMS / CENTRES)
        self.put("failure_period_s", DAY / DAILY_RESTARTS)
        self.put("daemon_slots", 1024 / DAEMONS)
        self.put("pair_rate", self.rate / DAEMONS)
        self.put("local_percent", LOCAL_SHARE * 100)
        self.put("steered_kb", self.steered_kb)
        self.put("fleet_members", FLEET_MEMBERS)
        self.put("journal_memory_mb", self.journal_memory)
        self.put("journal_resident_mb", self.journal_resident)
        self.writes, self.record, self.leader_us = writes, record, leader_us
        self.program_bytes = total / PROGRAMS

    def relay_and_ctl(self):
        s = self.s
        snapshot = TENANTS * s["snapshot_tenant_bytes"]
        reach = BUSY_SHARE * 1e6 / self.sync_us * SYNC_PERIOD_S
        self.put("reach_daemons", reach)
        self.tables["relay"] = [
            ["line", "arithmetic", "result", "mechanism"],
            ["daemons one leader serves", f"{BUSY_SHARE} core / {number(self.sync_us)} µs x {SYNC_PERIOD_S} s", number(reach), "delta tree beyond this"],
            ["reads of the leader with relays", f"{CENTRES} / {SYNC_PERIOD_S} s", f"{number(CENTRES / SYNC_PERIOD_S)}/s", "a relay in each data centre"],
            ["reads of a relay", f"{DAEMONS} / {CENTRES} / {SYNC_PERIOD_S} s", f"{number(DAEMONS / CENTRES / SYNC_PERIOD_S)}/s",
             "age of a relayed read counts from when the relay asked"],
        ]
        self.tables["ctl"] = [
            ["line", "arithmetic", "result", "mechanism"],
            ["one apply", f"reads the whole state, {number(TENANTS)} x {number(s['snapshot_tenant_bytes'])} bytes", f"{number(snapshot / MB)} MB",
             "none yet; reading only the named sections is to come"],
            ["all changes of a day", f"{number(CHANGES)}/s x {number(snapshot / MB)} MB", f"{number(CHANGES * snapshot / KB)} KB/s from the leader", "as above"],
            ["processor at the leader", f"{number(CHANGES)}/s x {number(TENANTS * s['snapshot_us_per_tenant'] / 1e3)} ms",
             f"{number(CHANGES * TENANTS * s['snapshot_us_per_tenant'] / 1e4)} %", "as above"],
        ]

    def breaks(self):
        s = self.s
        tenants = (MEMORY_MB * MB - self.base) / self.per_tenant
        lines = [
            ("endpoint list, whole, to each daemon", "endpoints", BYTES_KB * KB * LIST_PERIOD_S / s["list_bytes_per_endpoint"], REPLICAS,
             "the fleet leader reads it and sends deltas"),
            ("histories in memory, one journal group", "programs", MEMBER_MEMORY_MB * MB / self.program_bytes, PROGRAMS,
             "history on disk, then journal groups"),
            ("one journal leader's processor", "writes/s", BUSY_SHARE * 1e6 / self.leader_us, self.writes, "journal groups; batches"),
            ("one sync a batch of one, one journal group", "writes/s", 1e6 / s["log_sync_wall_us"], self.writes,
             "larger batches by group commit (today), journal groups"),
            ("an entry's copy of all tenants in 32 MB", "tenants", tenants, TENANTS, "subsetting by region"),
            ("reads at one fleet leader", "daemons", BUSY_SHARE * 1e6 / self.sync_us * SYNC_PERIOD_S, DAEMONS, "delta tree"),
            ("view at each change, all of the processor budget", "changes/s", CORE_PERCENT * 1e4 / s["view_change_us"], CHANGES, "changed rows alone"),
        ]
        lines.sort(key=lambda line: line[2] / line[3])
        self.tables["breaks"] = [["what", "holds up to", "target", "share of the target", "what then"]]
        for what, unit, limit, target, then in lines:
            share = f"{number(100 * limit / target)} %" + ("" if limit >= target else ", **breaks**")
            self.tables["breaks"].append([what, f"{number(limit)} {unit}", number(target), share, then])

    def slopes_table(self):
        self.tables["slopes"] = [["slope", "value"]] + [[f"`{name}`", number(value)] for name, value in self.s.items()]
