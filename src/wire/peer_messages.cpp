// Between controllers: names are our own.
#include "core/model/partition_assignment.h"
#include "wire/msgpack_fields.h"

namespace scheduler::wire {

namespace {
constexpr std::array<std::string_view, 4> kTolds{"stop", "clear", "shape", "back"};

void pack_quota_status(Packer& p, const Demand& demand, const PartitionCapacity& fleet) {
    field(p, "ordinary_slots", demand.on_demand_slots);
    field(p, "any_slots", demand.spot_eligible_slots);
    field(p, "left_slot_s", demand.remaining_slot_s);
    key(p, "bound");
    p.pack_array(static_cast<std::uint32_t>(demand.zone_bound_slots.size()));
    for (const auto& [zone, slots] : demand.zone_bound_slots) {
        p.pack_map(2);
        field(p, "zone", zone);
        field(p, "slots", slots);
    }
    field(p, "ordinary", fleet.on_demand_slots);
    field(p, "spot", fleet.spot_slots);
    field(p, "capacity", fleet.cpu_headroom);
    field(p, "takes", fleet.accepts_shards);
}
constexpr std::uint32_t kStandingFields = 8;

Demand demand_of(const Fields& f) {
    Demand d{f.amount("ordinary_slots"), f.amount("any_slots"), f.amount("left_slot_s"), {}};
    for (const auto* item : f.list("bound")) {
        Fields b(*item);
        d.zone_bound_slots[b.text("zone")] = b.amount("slots");
    }
    return d;
}

// A node of the version before says nothing of its processor, and takes no shares.
PartitionCapacity fleet_of(const Fields& f) {
    double capacity = f.maybe_amount("capacity").value_or(1);
    return {f.amount("ordinary"), f.amount("spot"), std::clamp(capacity, 0.01, 1.0),
            f.get("takes") && f.flag("takes")};
}

// There are many of them in each reply: home, number, term, and what of it is listed.
void pack_listings(Packer& p, const std::vector<ShardInventory>& listings) {
    p.pack_array(static_cast<std::uint32_t>(listings.size()));
    for (const auto& l : listings) {
        p.pack_array(4);
        p.pack(l.shard.home_partition);
        p.pack(l.shard.number);
        p.pack(l.term);
        p.pack((l.reconciled ? 1 : 0) + (l.complete ? 2 : 0));
    }
}

ShardInventory listing_of(const msgpack::object& item) {
    auto partitions = Fields::list_of(item, "shares");
    if (partitions.size() != 4) {
        throw MessageError("shares: not four numbers");
    }
    auto number = [&](std::size_t i, std::uint64_t most) {
        std::uint64_t n = Fields::integer_of(*partitions[i], "shares");
        if (n > most) {
            throw MessageError("shares: out of range");
        }
        return n;
    };
    std::uint64_t state = number(3, 3);
    return {{static_cast<int>(number(0, kMaxPartitions)), static_cast<int>(number(1, kMostTasks))},
            number(2, UINT64_MAX),
            (state & 1) != 0,
            (state & 2) != 0};
}

std::vector<std::string> names_of(const Fields& f, const char* name) {
    std::vector<std::string> out;
    for (const auto* n : f.list(name)) {
        out.push_back(Fields::text_of(*n, name));
    }
    return out;
}

std::uint32_t index_of(const msgpack::object& v, const char* name) {
    std::uint64_t index = Fields::integer_of(v, name);
    if (index >= kMostTasks) {
        throw MessageError(std::string(name) + ": out of range");
    }
    return static_cast<std::uint32_t>(index);
}

void pack_start(Packer& p, const LaunchId& id) {
    field(p, "attempt", id.attempt);
    field(p, "index", id.index);
}

LaunchId start_of(const Fields& f) {
    return {f.integer("attempt"), index_of(f.need("index"), "index")};
}

PeerSyncRequest exchange_of(const Fields& f) {
    PeerSyncRequest request;
    request.from_partition = static_cast<int>(f.integer("from"));
    request.term = f.integer("term");
    request.sequence = f.get("number") ? f.integer("number") : 0; // a node of the version before
    request.to_partition = static_cast<int>(f.integer("to"));
    for (const auto* item : f.list("wants")) {
        Fields w(*item);
        SlotRequest wanted;
        wanted.job = w.text("job");
        wanted.kind = enum_of<JobKind>(w.text("kind"), kKinds, "kind");
        wanted.attempt = w.integer("attempt");
        for (const auto* member : w.list("members")) {
            wanted.gang_members.push_back(index_of(*member, "members"));
        }
        wanted.one_zone = w.flag("one_zone");
        wanted.spread = w.flag("spread");
        wanted.accepts_partial = w.flag("partial");
        wanted.preempt = w.flag("preempt");
        wanted.gang_size = static_cast<std::uint32_t>(w.integer("gang_tasks"));
        wanted.count = static_cast<std::uint32_t>(w.integer("count"));
        wanted.cpus = w.amount("cpus");
        wanted.gpus = w.amount("gpus");
        wanted.ram_gb = w.amount("ram_gb");
        wanted.image = w.text("image");
        wanted.image_gb = w.amount("image_gb");
        if (w.get("types")) {
            wanted.types = names_of(w, "types");
        }
        wanted.zone = w.maybe_text("zone");
        wanted.spot = w.flag("spot");
        wanted.priority = enum_of<Priority>(w.text("priority"), kPriorities, "priority");
        wanted.over_guarantee = w.flag("borrows");
        wanted.bottleneck_team = w.flag("longest");
        wanted.starving = w.flag("kept");
        wanted.age_s = w.amount("age_s");
        wanted.due_s = w.amount("due_s");
        bool gang = wanted.kind == JobKind::gang;
        if (gang != (wanted.attempt != 0) || (gang && wanted.gang_members.size() != wanted.count)) {
            throw MessageError("wants: attempt and members do not go together");
        }
        request.slot_requests.push_back(std::move(wanted));
    }
    for (const auto* item : f.list("told")) {
        Fields t(*item);
        request.commands.push_back(
            {enum_of<RemoteTaskCommand::Type>(t.text("what"), kTolds, "what"), t.text("machine"),
             start_of(t), t.amount("grace_s"), enum_of<JobKind>(t.text("kind"), kKinds, "kind"),
             t.amount("cpus"), t.amount("gpus"), t.amount("ram_gb"), t.text("image"),
             t.amount("image_gb")});
    }
    request.max_slots = static_cast<std::uint32_t>(f.integer("most"));
    for (const auto* item : f.list("bought")) {
        Fields b(*item);
        request.provisioned.push_back(
            {b.text("machine"), b.text("type"), b.text("zone"), b.flag("spot")});
    }
    if (f.get("given")) { // a node of the version before gives nothing away
        for (const auto* item : f.list("given")) {
            Fields g(*item);
            request.transfers.push_back({{static_cast<int>(g.integer("home") % kMaxPartitions),
                                          static_cast<int>(g.integer("number") % kMostTasks)},
                                         g.integer("revision"),
                                         g.integer("term")});
        }
    }
    request.acked_term = f.integer("seen_term");
    request.acked_version = f.integer("seen");
    request.demand = demand_of(f);
    request.capacity = fleet_of(f);
    return request;
}
} // namespace

void pack_peer_sync_request(Packer& p, const PeerSyncRequest& request) {
    p.pack_map(11 + kStandingFields);
    field(p, "number", request.sequence);
    key(p, "given");
    p.pack_array(static_cast<std::uint32_t>(request.transfers.size()));
    for (const auto& g : request.transfers) {
        p.pack_map(4);
        field(p, "home", g.shard.home_partition);
        field(p, "number", g.shard.number);
        field(p, "revision", g.revision);
        field(p, "term", g.term);
    }
    field(p, "from", request.from_partition);
    field(p, "most", request.max_slots);
    field(p, "seen_term", request.acked_term);
    field(p, "seen", request.acked_version);
    field(p, "term", request.term);
    field(p, "to", request.to_partition);
    key(p, "wants");
    p.pack_array(static_cast<std::uint32_t>(request.slot_requests.size()));
    for (const auto& wanted : request.slot_requests) {
        p.pack_map(24);
        field(p, "job", wanted.job);
        field(p, "preempt", wanted.preempt);
        field(p, "partial", wanted.accepts_partial);
        field(p, "kind", name_of(wanted.kind, kKinds));
        field(p, "attempt", wanted.attempt);
        field(p, "members", wanted.gang_members);
        field(p, "one_zone", wanted.one_zone);
        field(p, "spread", wanted.spread);
        field(p, "gang_tasks", wanted.gang_size);
        field(p, "count", wanted.count);
        field(p, "cpus", wanted.cpus);
        field(p, "gpus", wanted.gpus);
        field(p, "ram_gb", wanted.ram_gb);
        field(p, "image", wanted.image);
        field(p, "image_gb", wanted.image_gb);
        key(p, "types");
        wanted.types ? p.pack(*wanted.types) : p.pack_nil();
        key(p, "zone");
        wanted.zone ? p.pack(*wanted.zone) : p.pack_nil();
        field(p, "spot", wanted.spot);
        field(p, "priority", name_of(wanted.priority, kPriorities));
        field(p, "borrows", wanted.over_guarantee);
        field(p, "longest", wanted.bottleneck_team);
        field(p, "kept", wanted.starving);
        field(p, "age_s", wanted.age_s);
        field(p, "due_s", wanted.due_s);
    }
    key(p, "told");
    p.pack_array(static_cast<std::uint32_t>(request.commands.size()));
    for (const auto& t : request.commands) {
        p.pack_map(11);
        field(p, "what", name_of(t.type, kTolds));
        field(p, "machine", t.machine);
        pack_start(p, t.launch);
        field(p, "grace_s", t.grace_s);
        field(p, "kind", name_of(t.kind, kKinds));
        field(p, "cpus", t.cpus);
        field(p, "gpus", t.gpus);
        field(p, "ram_gb", t.ram_gb);
        field(p, "image", t.image);
        field(p, "image_gb", t.image_gb);
    }
    key(p, "bought");
    p.pack_array(static_cast<std::uint32_t>(request.provisioned.size()));
    for (const auto& b : request.provisioned) {
        p.pack_map(4);
        field(p, "machine", b.machine);
        field(p, "type", b.type);
        field(p, "zone", b.zone);
        field(p, "spot", b.spot);
    }
    pack_quota_status(p, request.demand, request.capacity);
}

void pack_peer_sync_response(Packer& p, const PeerSyncResponse& response) {
    p.pack_map(9 + (response.shards ? 1 : 0) + kStandingFields);
    if (response.shards) {
        key(p, "shares");
        pack_listings(p, *response.shards);
    }
    field(p, "term", response.term);
    field(p, "settled", response.reconciled);
    field(p, "clean", response.no_stale_grants);
    field(p, "full", response.complete);
    field(p, "version", response.version);
    field(p, "machines", response.machines);
    pack_quota_status(p, response.demand, response.capacity);
    key(p, "held");
    p.pack_array(static_cast<std::uint32_t>(response.tasks.size()));
    for (const auto& remote_task : response.tasks) {
        p.pack_map(9);
        field(p, "task", to_string(remote_task.status.task));
        field(p, "attempt", remote_task.status.attempt);
        field(p, "stage", name_of(remote_task.status.stage, kStages));
        field(p, "why", name_of(remote_task.status.exit_reason, kWhys));
        field(p, "machine", remote_task.machine);
        field(p, "zone", remote_task.zone);
        field(p, "shape_unknown", remote_task.resources_unknown);
        field(p, "draining", remote_task.draining);
        field(p, "notice", remote_task.preemption_notice);
    }
    key(p, "open");
    p.pack_array(static_cast<std::uint32_t>(response.pending_launches.size()));
    for (const auto& id : response.pending_launches) {
        p.pack_map(2);
        pack_start(p, id);
    }
    key(p, "grants");
    p.pack_array(static_cast<std::uint32_t>(response.grants.size()));
    for (const auto& grant : response.grants) {
        p.pack_map(13);
        pack_start(p, grant.launch);
        field(p, "job", grant.job);
        field(p, "machine", grant.machine);
        field(p, "endpoint", grant.endpoint);
        field(p, "session", grant.agent_epoch);
        field(p, "token", grant.fencing_token);
        field(p, "type", grant.type);
        field(p, "zone", grant.zone);
        field(p, "spot", grant.spot);
        field(p, "cpus", grant.cpus);
        field(p, "gpus", grant.gpus);
        field(p, "ram_gb", grant.ram_gb);
    }
}

PeerSyncResponse peer_sync_response_of(const Fields& f) {
    PeerSyncResponse response;
    response.term = f.integer("term");
    response.reconciled = f.flag("settled");
    response.no_stale_grants = f.flag("clean");
    response.complete = f.flag("full");
    response.version = f.integer("version");
    if (f.get("shares")) {
        response.shards.emplace();
        for (const auto* item : f.list("shares")) {
            response.shards->push_back(listing_of(*item));
        }
    }
    response.machines = names_of(f, "machines");
    response.demand = demand_of(f);
    response.capacity = fleet_of(f);
    for (const auto* item : f.list("held")) {
        Fields h(*item);
        RemoteTaskStatus remote_task;
        remote_task.status = {task_of(h.text("task")), h.integer("attempt"),
                              enum_of<TaskStage>(h.text("stage"), kStages, "stage"),
                              enum_of<ExitReason>(h.text("why"), kWhys, "why")};
        remote_task.machine = h.text("machine");
        remote_task.zone = h.text("zone");
        remote_task.resources_unknown = h.flag("shape_unknown");
        remote_task.draining = h.flag("draining");
        remote_task.preemption_notice = h.flag("notice");
        response.tasks.push_back(std::move(remote_task));
    }
    for (const auto* item : f.list("open")) {
        response.pending_launches.push_back(start_of(Fields(*item)));
    }
    for (const auto* item : f.list("grants")) {
        Fields g(*item);
        response.grants.push_back({start_of(g), g.text("job"), g.text("machine"),
                                   g.text("endpoint"), g.integer("session"), g.integer("token"),
                                   g.text("type"), g.text("zone"), g.flag("spot"), g.amount("cpus"),
                                   g.amount("gpus"), g.amount("ram_gb")});
    }
    return response;
}

// A listing as a record: in lists without names, as a value holds few KiB.
void pack_inventory(Packer& p, const InventoryRecord& a) {
    p.pack_map(7);
    field(p, "for_term", a.for_term);
    field(p, "term", a.term);
    field(p, "version", a.version);
    field(p, "pages", a.pages);
    key(p, "shares");
    pack_listings(p, a.shards);
    key(p, "held");
    p.pack_array(static_cast<std::uint32_t>(a.tasks.size()));
    for (const auto& remote_task : a.tasks) {
        p.pack_array(7);
        p.pack(to_string(remote_task.status.task));
        p.pack(remote_task.status.attempt);
        p.pack(static_cast<int>(remote_task.status.stage));
        p.pack(static_cast<int>(remote_task.status.exit_reason));
        p.pack(remote_task.machine);
        p.pack(remote_task.zone);
        p.pack((remote_task.resources_unknown ? 1 : 0) + (remote_task.draining ? 2 : 0) +
               (remote_task.preemption_notice ? 4 : 0));
    }
    key(p, "open");
    p.pack_array(static_cast<std::uint32_t>(a.pending_launches.size()));
    for (const auto& id : a.pending_launches) {
        p.pack_array(2);
        p.pack(id.attempt);
        p.pack(id.index);
    }
}

InventoryRecord inventory_of(const Fields& f) {
    InventoryRecord a;
    a.for_term = f.integer("for_term");
    a.term = f.integer("term");
    a.version = f.integer("version");
    a.pages = index_of(f.need("pages"), "pages");
    for (const auto* item : f.list("shares")) {
        a.shards.push_back(listing_of(*item));
    }
    for (const auto* item : f.list("held")) {
        auto h = Fields::list_of(*item, "held");
        if (h.size() != 7 || Fields::integer_of(*h[2], "held") >= kStages.size() ||
            Fields::integer_of(*h[3], "held") >= kWhys.size()) {
            throw MessageError("held: not a task");
        }
        std::uint64_t flags = Fields::integer_of(*h[6], "held");
        a.tasks.push_back(
            {{task_of(Fields::text_of(*h[0], "held")), Fields::integer_of(*h[1], "held"),
              static_cast<TaskStage>(Fields::integer_of(*h[2], "held")),
              static_cast<ExitReason>(Fields::integer_of(*h[3], "held"))},
             Fields::text_of(*h[4], "held"),
             Fields::text_of(*h[5], "held"),
             (flags & 1) != 0,
             (flags & 2) != 0,
             (flags & 4) != 0});
    }
    for (const auto* item : f.list("open")) {
        auto id = Fields::list_of(*item, "open");
        if (id.size() != 2) {
            throw MessageError("open: not a start");
        }
        a.pending_launches.push_back(
            {Fields::integer_of(*id[0], "open"), index_of(*id[1], "open")});
    }
    return a;
}

void pack_lease_extension_request(Packer& p, const LeaseExtensionRequest& request) {
    p.pack_map(5);
    field(p, "part", request.partition);
    field(p, "term", request.term);
    field(p, "for_s", request.duration_s);
    field(p, "silent_s", request.cancellations_age_s);
    field(p, "config", request.quota_revision);
}

void pack_lease_extension_response(Packer& p, const LeaseExtensionResponse& response) {
    p.pack_map(4);
    field(p, "reaches", response.store_reachable);
    field(p, "given", response.granted);
    field(p, "cancelled", response.cancelled_jobs);
    key(p, "teams");
    p.pack_array(static_cast<std::uint32_t>(response.quota_changes.size()));
    for (const auto& change : response.quota_changes) {
        p.pack_map(3);
        field(p, "team", change.team);
        field(p, "revision", change.revision);
        key(p, "record");
        pack_record(p, QuotaRecord{change.quota.value_or(TeamQuota{})});
    }
}

LeaseExtensionResponse lease_extension_response_of(const Fields& f) {
    LeaseExtensionResponse response{
        f.flag("reaches"), f.flag("given"), names_of(f, "cancelled"), {}};
    if (f.get("teams")) { // a node of the version before says nothing of them
        for (const auto* item : f.list("teams")) {
            Fields c(*item);
            response.quota_changes.push_back(
                {c.text("team"), quota_of(Fields(c.need("record"))), c.integer("revision")});
        }
    }
    return response;
}

void pack_quota_status(Packer& p, const QuotaStatus& s) {
    p.pack_map(7);
    field(p, "revision", s.revision);
    field(p, "age_s", s.age_s);
    field(p, "team", s.quota.name);
    key(p, "record");
    pack_record(p, QuotaRecord{s.quota});
    field(p, "in_force", s.effective_revision);
    field(p, "since_s", s.effective_for_s);
    field(p, "held", s.blocked);
}
QuotaStatus quota_status_of(const Fields& f) {
    QuotaStatus s;
    s.revision = f.integer("revision");
    s.age_s = f.amount("age_s");
    s.quota = quota_of(Fields(f.need("record")));
    s.quota.name = f.text("team");
    s.effective_revision = f.integer("in_force");
    s.effective_for_s = f.amount("since_s");
    s.blocked = f.flag("held");
    return s;
}
std::string parse_quota_status_query(const std::string& body) {
    auto handle = unpack(body);
    return Fields(handle.get()).text("team");
}
LeaseExtensionRequest parse_lease_extension_request(const std::string& body) {
    auto handle = unpack(body);
    Fields f(handle.get());
    LeaseExtensionRequest request;
    request.partition = static_cast<int>(std::min<std::uint64_t>(f.integer("part"), 1 << 20));
    request.term = f.integer("term");
    request.duration_s = f.amount("for_s");
    request.cancellations_age_s = f.amount("silent_s");
    request.quota_revision = f.get("config") ? f.integer("config") : 0;
    return request;
}

void pack_cancellations(Packer& p, const std::vector<std::string>& jobs) {
    p.pack_map(1);
    field(p, "jobs", jobs);
}

std::vector<std::string> parse_cancellations(const std::string& body) {
    auto handle = unpack(body);
    return names_of(Fields(handle.get()), "jobs");
}

PeerSyncRequest parse_peer_sync_request(const std::string& body) {
    auto handle = unpack(body);
    return exchange_of(Fields(handle.get()));
}

} // namespace scheduler::wire
