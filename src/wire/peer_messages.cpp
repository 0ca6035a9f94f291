// Encodes and decodes the messages between controllers, and the inventory records, which have the
// same content.
#include "core/model/partition_assignment.h"
#include "wire/msgpack_fields.h"

namespace scheduler::wire {

namespace {
constexpr std::array<std::string_view, 4> kRemoteCommandNames{"stop", "clear", "shape", "back"};

std::vector<std::string> unpack_text_list(const Fields& fields, const char* name) {
    std::vector<std::string> texts;
    for (const auto* item : fields.list(name)) {
        texts.push_back(Fields::as_text(*item, name));
    }
    return texts;
}

void pack_task_groups(Packer& packer, const std::vector<TaskGroup>& groups) {
    packer.pack_array(static_cast<std::uint32_t>(groups.size()));
    for (const auto& group : groups) {
        packer.pack_map(8);
        pack_field(packer, "types", group.types);
        pack_field(packer, "zones", group.zones);
        pack_field(packer, "spot", group.spot);
        pack_field(packer, "cpus", group.cpus);
        pack_field(packer, "gpus", group.gpus);
        pack_field(packer, "ram_gb", group.ram_gb);
        pack_field(packer, "tasks", group.tasks);
        pack_field(packer, "slots", group.slots);
    }
}

void pack_idle_machines(Packer& packer, const IdleMachines& idle) {
    packer.pack_array(static_cast<std::uint32_t>(idle.size()));
    for (const auto& [pool, machines] : idle) {
        packer.pack_map(4);
        pack_field(packer, "type", pool.kind.type);
        pack_field(packer, "spot", pool.kind.spot);
        pack_field(packer, "zone", pool.zone);
        pack_field(packer, "parts", machines);
    }
}

// Returns the number of fields that pack_demand_and_capacity() packs.
std::uint32_t demand_and_capacity_fields(const Demand& demand, const PartitionCapacity& capacity) {
    return 8 + (demand.groups.empty() ? 0 : 1) + (capacity.idle ? 1 : 0);
}

void pack_demand_and_capacity(Packer& packer, const Demand& demand,
                              const PartitionCapacity& capacity) {
    pack_field(packer, "ordinary_slots", demand.on_demand_slots);
    pack_field(packer, "any_slots", demand.spot_eligible_slots);
    pack_field(packer, "left_slot_s", demand.remaining_slot_s);
    pack_key(packer, "bound");
    packer.pack_array(static_cast<std::uint32_t>(demand.zone_bound_slots.size()));
    for (const auto& [zone, slots] : demand.zone_bound_slots) {
        packer.pack_map(2);
        pack_field(packer, "zone", zone);
        pack_field(packer, "slots", slots);
    }
    pack_field(packer, "ordinary", capacity.on_demand_slots);
    pack_field(packer, "spot", capacity.spot_slots);
    pack_field(packer, "capacity", capacity.cpu_headroom);
    pack_field(packer, "takes", capacity.accepts_shards);
    if (!demand.groups.empty()) {
        pack_key(packer, "groups");
        pack_task_groups(packer, demand.groups);
    }
    if (capacity.idle) {
        pack_key(packer, "idle");
        pack_idle_machines(packer, *capacity.idle);
    }
}

std::uint32_t unpack_count(const msgpack::object& value, const char* name) {
    std::uint64_t count = Fields::as_integer(value, name);
    if (count > UINT32_MAX) {
        throw MessageError(std::string(name) + ": out of range");
    }
    return static_cast<std::uint32_t>(count);
}

TaskGroup unpack_task_group(const msgpack::object& item) {
    Fields fields(item);
    TaskGroup group;
    group.types = unpack_text_list(fields, "types");
    if (group.types.empty()) {
        throw MessageError("types: empty");
    }
    group.zones = unpack_text_list(fields, "zones");
    group.spot = fields.flag("spot");
    group.cpus = fields.amount("cpus");
    group.gpus = fields.amount("gpus");
    group.ram_gb = fields.amount("ram_gb");
    group.tasks = unpack_count(fields.required("tasks"), "tasks");
    group.slots = fields.amount("slots");
    return group;
}

// A controller of the previous version does not report idle machines.
std::optional<IdleMachines> unpack_idle_machines(const Fields& fields) {
    if (!fields.find("idle")) {
        return std::nullopt;
    }
    IdleMachines idle;
    for (const auto* item : fields.list("idle")) {
        Fields pool(*item);
        auto parts = pool.list("parts");
        if (parts.size() != kIdleParts) {
            throw MessageError("parts: wrong number");
        }
        MachinesByIdleParts& machines =
            idle[MachinePool{{pool.text("type"), pool.flag("spot")}, pool.text("zone")}];
        for (std::size_t i = 0; i < kIdleParts; ++i) {
            machines.at(i) = unpack_count(*parts[i], "parts");
        }
    }
    return idle;
}

Demand unpack_demand(const Fields& fields) {
    Demand demand{fields.amount("ordinary_slots"),
                  fields.amount("any_slots"),
                  fields.amount("left_slot_s"),
                  {},
                  {}};
    for (const auto* item : fields.list("bound")) {
        Fields zone_fields(*item);
        demand.zone_bound_slots[zone_fields.text("zone")] = zone_fields.amount("slots");
    }
    if (fields.find("groups")) {
        for (const auto* item : fields.list("groups")) {
            demand.groups.push_back(unpack_task_group(*item));
        }
    }
    return demand;
}

// A controller of the previous version sends no CPU headroom and does not accept shards.
PartitionCapacity unpack_capacity(const Fields& fields) {
    double cpu_headroom = fields.optional_amount("capacity").value_or(1);
    return {fields.amount("ordinary"), fields.amount("spot"), std::clamp(cpu_headroom, 0.01, 1.0),
            fields.find("takes") && fields.flag("takes"), unpack_idle_machines(fields)};
}

// Packs each shard as an array without names, because a response has many: home partition, number,
// term, and flags (1: reconciled, 2: complete).
void pack_shard_inventories(Packer& packer, const std::vector<ShardInventory>& shards) {
    packer.pack_array(static_cast<std::uint32_t>(shards.size()));
    for (const auto& inventory : shards) {
        packer.pack_array(4);
        packer.pack(inventory.shard.home_partition);
        packer.pack(inventory.shard.number);
        packer.pack(inventory.term);
        packer.pack((inventory.reconciled ? 1 : 0) + (inventory.complete ? 2 : 0));
    }
}

ShardInventory unpack_shard_inventory(const msgpack::object& item) {
    auto values = Fields::as_list(item, "shares");
    if (values.size() != 4) {
        throw MessageError("shares: not four numbers");
    }
    auto number = [&](std::size_t i, std::uint64_t max) {
        std::uint64_t value = Fields::as_integer(*values[i], "shares");
        if (value > max) {
            throw MessageError("shares: out of range");
        }
        return value;
    };
    std::uint64_t flags = number(3, 3);
    return {
        {static_cast<int>(number(0, kMaxPartitions)), static_cast<int>(number(1, kMaxTasksPerJob))},
        number(2, UINT64_MAX),
        (flags & 1) != 0,
        (flags & 2) != 0};
}

std::uint32_t unpack_index(const msgpack::object& value, const char* name) {
    std::uint64_t index = Fields::as_integer(value, name);
    if (index >= kMaxTasksPerJob) {
        throw MessageError(std::string(name) + ": out of range");
    }
    return static_cast<std::uint32_t>(index);
}

void pack_launch_id(Packer& packer, const LaunchId& id) {
    pack_field(packer, "attempt", id.attempt);
    pack_field(packer, "index", id.index);
}

LaunchId unpack_launch_id(const Fields& fields) {
    return {fields.integer("attempt"), unpack_index(fields.required("index"), "index")};
}

PeerSyncRequest unpack_peer_sync_request(const Fields& fields) {
    PeerSyncRequest request;
    request.from_partition = static_cast<int>(fields.integer("from"));
    request.term = fields.integer("term");
    // A controller of the previous version sends no sequence.
    request.sequence = fields.find("number") ? fields.integer("number") : 0;
    request.to_partition = static_cast<int>(fields.integer("to"));
    for (const auto* item : fields.list("wants")) {
        Fields slot_fields(*item);
        SlotRequest slot_request;
        slot_request.job = slot_fields.text("job");
        slot_request.kind = parse_enum<JobKind>(slot_fields.text("kind"), kJobKindNames, "kind");
        slot_request.attempt = slot_fields.integer("attempt");
        for (const auto* member : slot_fields.list("members")) {
            slot_request.gang_members.push_back(unpack_index(*member, "members"));
        }
        slot_request.one_zone = slot_fields.flag("one_zone");
        slot_request.spread = slot_fields.flag("spread");
        slot_request.accepts_partial = slot_fields.flag("partial");
        slot_request.preempt = slot_fields.flag("preempt");
        slot_request.gang_size = static_cast<std::uint32_t>(slot_fields.integer("gang_tasks"));
        slot_request.count = static_cast<std::uint32_t>(slot_fields.integer("count"));
        slot_request.cpus = slot_fields.amount("cpus");
        slot_request.gpus = slot_fields.amount("gpus");
        slot_request.ram_gb = slot_fields.amount("ram_gb");
        slot_request.image = slot_fields.text("image");
        slot_request.image_gb = slot_fields.amount("image_gb");
        if (slot_fields.find("types")) {
            slot_request.types = unpack_text_list(slot_fields, "types");
        }
        slot_request.zone = slot_fields.optional_text("zone");
        slot_request.spot = slot_fields.flag("spot");
        slot_request.priority =
            parse_enum<Priority>(slot_fields.text("priority"), kPriorityNames, "priority");
        slot_request.over_guarantee = slot_fields.flag("borrows");
        slot_request.bottleneck_team = slot_fields.flag("longest");
        slot_request.starving = slot_fields.flag("kept");
        slot_request.age_s = slot_fields.amount("age_s");
        slot_request.due_s = slot_fields.amount("due_s");
        bool gang = slot_request.kind == JobKind::gang;
        if (gang != (slot_request.attempt != 0) ||
            (gang && slot_request.gang_members.size() != slot_request.count)) {
            throw MessageError("wants: attempt and members do not go together");
        }
        request.slot_requests.push_back(std::move(slot_request));
    }
    for (const auto* item : fields.list("told")) {
        Fields command_fields(*item);
        request.commands.push_back(
            {parse_enum<RemoteTaskCommand::Type>(command_fields.text("what"), kRemoteCommandNames,
                                                 "what"),
             command_fields.text("machine"), unpack_launch_id(command_fields),
             command_fields.amount("grace_s"),
             parse_enum<JobKind>(command_fields.text("kind"), kJobKindNames, "kind"),
             command_fields.amount("cpus"), command_fields.amount("gpus"),
             command_fields.amount("ram_gb"), command_fields.text("image"),
             command_fields.amount("image_gb")});
    }
    request.max_slots = static_cast<std::uint32_t>(fields.integer("most"));
    for (const auto* item : fields.list("bought")) {
        Fields machine_fields(*item);
        request.provisioned.push_back({machine_fields.text("machine"), machine_fields.text("type"),
                                       machine_fields.text("zone"), machine_fields.flag("spot")});
    }
    if (fields.find("given")) { // missing from a controller of the previous version
        for (const auto* item : fields.list("given")) {
            Fields transfer_fields(*item);
            request.transfers.push_back(
                {{static_cast<int>(transfer_fields.integer("home") % kMaxPartitions),
                  static_cast<int>(transfer_fields.integer("number") % kMaxTasksPerJob)},
                 transfer_fields.integer("revision"),
                 transfer_fields.integer("term")});
        }
    }
    request.acked_term = fields.integer("seen_term");
    request.acked_version = fields.integer("seen");
    request.demand = unpack_demand(fields);
    request.capacity = unpack_capacity(fields);
    return request;
}
} // namespace

void pack_peer_sync_request(Packer& packer, const PeerSyncRequest& request) {
    packer.pack_map(11 + demand_and_capacity_fields(request.demand, request.capacity));
    pack_field(packer, "number", request.sequence);
    pack_key(packer, "given");
    packer.pack_array(static_cast<std::uint32_t>(request.transfers.size()));
    for (const auto& transfer : request.transfers) {
        packer.pack_map(4);
        pack_field(packer, "home", transfer.shard.home_partition);
        pack_field(packer, "number", transfer.shard.number);
        pack_field(packer, "revision", transfer.revision);
        pack_field(packer, "term", transfer.term);
    }
    pack_field(packer, "from", request.from_partition);
    pack_field(packer, "most", request.max_slots);
    pack_field(packer, "seen_term", request.acked_term);
    pack_field(packer, "seen", request.acked_version);
    pack_field(packer, "term", request.term);
    pack_field(packer, "to", request.to_partition);
    pack_key(packer, "wants");
    packer.pack_array(static_cast<std::uint32_t>(request.slot_requests.size()));
    for (const auto& slot_request : request.slot_requests) {
        packer.pack_map(24);
        pack_field(packer, "job", slot_request.job);
        pack_field(packer, "preempt", slot_request.preempt);
        pack_field(packer, "partial", slot_request.accepts_partial);
        pack_field(packer, "kind", enum_name(slot_request.kind, kJobKindNames));
        pack_field(packer, "attempt", slot_request.attempt);
        pack_field(packer, "members", slot_request.gang_members);
        pack_field(packer, "one_zone", slot_request.one_zone);
        pack_field(packer, "spread", slot_request.spread);
        pack_field(packer, "gang_tasks", slot_request.gang_size);
        pack_field(packer, "count", slot_request.count);
        pack_field(packer, "cpus", slot_request.cpus);
        pack_field(packer, "gpus", slot_request.gpus);
        pack_field(packer, "ram_gb", slot_request.ram_gb);
        pack_field(packer, "image", slot_request.image);
        pack_field(packer, "image_gb", slot_request.image_gb);
        pack_key(packer, "types");
        slot_request.types ? packer.pack(*slot_request.types) : packer.pack_nil();
        pack_key(packer, "zone");
        slot_request.zone ? packer.pack(*slot_request.zone) : packer.pack_nil();
        pack_field(packer, "spot", slot_request.spot);
        pack_field(packer, "priority", enum_name(slot_request.priority, kPriorityNames));
        pack_field(packer, "borrows", slot_request.over_guarantee);
        pack_field(packer, "longest", slot_request.bottleneck_team);
        pack_field(packer, "kept", slot_request.starving);
        pack_field(packer, "age_s", slot_request.age_s);
        pack_field(packer, "due_s", slot_request.due_s);
    }
    pack_key(packer, "told");
    packer.pack_array(static_cast<std::uint32_t>(request.commands.size()));
    for (const auto& command : request.commands) {
        packer.pack_map(11);
        pack_field(packer, "what", enum_name(command.type, kRemoteCommandNames));
        pack_field(packer, "machine", command.machine);
        pack_launch_id(packer, command.launch);
        pack_field(packer, "grace_s", command.grace_s);
        pack_field(packer, "kind", enum_name(command.kind, kJobKindNames));
        pack_field(packer, "cpus", command.cpus);
        pack_field(packer, "gpus", command.gpus);
        pack_field(packer, "ram_gb", command.ram_gb);
        pack_field(packer, "image", command.image);
        pack_field(packer, "image_gb", command.image_gb);
    }
    pack_key(packer, "bought");
    packer.pack_array(static_cast<std::uint32_t>(request.provisioned.size()));
    for (const auto& machine : request.provisioned) {
        packer.pack_map(4);
        pack_field(packer, "machine", machine.machine);
        pack_field(packer, "type", machine.type);
        pack_field(packer, "zone", machine.zone);
        pack_field(packer, "spot", machine.spot);
    }
    pack_demand_and_capacity(packer, request.demand, request.capacity);
}

void pack_peer_sync_response(Packer& packer, const PeerSyncResponse& response) {
    packer.pack_map(9 + (response.shards ? 1 : 0) +
                    demand_and_capacity_fields(response.demand, response.capacity));
    if (response.shards) {
        pack_key(packer, "shares");
        pack_shard_inventories(packer, *response.shards);
    }
    pack_field(packer, "term", response.term);
    pack_field(packer, "settled", response.reconciled);
    pack_field(packer, "clean", response.no_stale_grants);
    pack_field(packer, "full", response.complete);
    pack_field(packer, "version", response.version);
    pack_field(packer, "machines", response.machines);
    pack_demand_and_capacity(packer, response.demand, response.capacity);
    pack_key(packer, "held");
    packer.pack_array(static_cast<std::uint32_t>(response.tasks.size()));
    for (const auto& remote_task : response.tasks) {
        packer.pack_map(9);
        pack_field(packer, "task", to_string(remote_task.status.task));
        pack_field(packer, "attempt", remote_task.status.attempt);
        pack_field(packer, "stage", enum_name(remote_task.status.stage, kTaskStageNames));
        pack_field(packer, "why", enum_name(remote_task.status.exit_reason, kExitReasonNames));
        pack_field(packer, "machine", remote_task.machine);
        pack_field(packer, "zone", remote_task.zone);
        pack_field(packer, "shape_unknown", remote_task.resources_unknown);
        pack_field(packer, "draining", remote_task.draining);
        pack_field(packer, "notice", remote_task.preemption_notice);
    }
    pack_key(packer, "open");
    packer.pack_array(static_cast<std::uint32_t>(response.pending_launches.size()));
    for (const auto& id : response.pending_launches) {
        packer.pack_map(2);
        pack_launch_id(packer, id);
    }
    pack_key(packer, "grants");
    packer.pack_array(static_cast<std::uint32_t>(response.grants.size()));
    for (const auto& grant : response.grants) {
        packer.pack_map(13);
        pack_launch_id(packer, grant.launch);
        pack_field(packer, "job", grant.job);
        pack_field(packer, "machine", grant.machine);
        pack_field(packer, "endpoint", grant.endpoint);
        pack_field(packer, "session", grant.agent_epoch);
        pack_field(packer, "token", grant.fencing_token);
        pack_field(packer, "type", grant.type);
        pack_field(packer, "zone", grant.zone);
        pack_field(packer, "spot", grant.spot);
        pack_field(packer, "cpus", grant.cpus);
        pack_field(packer, "gpus", grant.gpus);
        pack_field(packer, "ram_gb", grant.ram_gb);
    }
}

PeerSyncResponse unpack_peer_sync_response(const Fields& fields) {
    PeerSyncResponse response;
    response.term = fields.integer("term");
    response.reconciled = fields.flag("settled");
    response.no_stale_grants = fields.flag("clean");
    response.complete = fields.flag("full");
    response.version = fields.integer("version");
    if (fields.find("shares")) {
        response.shards.emplace();
        for (const auto* item : fields.list("shares")) {
            response.shards->push_back(unpack_shard_inventory(*item));
        }
    }
    response.machines = unpack_text_list(fields, "machines");
    response.demand = unpack_demand(fields);
    response.capacity = unpack_capacity(fields);
    for (const auto* item : fields.list("held")) {
        Fields task_fields(*item);
        RemoteTaskStatus remote_task;
        remote_task.status = {
            parse_task_id(task_fields.text("task")), task_fields.integer("attempt"),
            parse_enum<TaskStage>(task_fields.text("stage"), kTaskStageNames, "stage"),
            parse_enum<ExitReason>(task_fields.text("why"), kExitReasonNames, "why")};
        remote_task.machine = task_fields.text("machine");
        remote_task.zone = task_fields.text("zone");
        remote_task.resources_unknown = task_fields.flag("shape_unknown");
        remote_task.draining = task_fields.flag("draining");
        remote_task.preemption_notice = task_fields.flag("notice");
        response.tasks.push_back(std::move(remote_task));
    }
    for (const auto* item : fields.list("open")) {
        response.pending_launches.push_back(unpack_launch_id(Fields(*item)));
    }
    for (const auto* item : fields.list("grants")) {
        Fields grant_fields(*item);
        response.grants.push_back({unpack_launch_id(grant_fields), grant_fields.text("job"),
                                   grant_fields.text("machine"), grant_fields.text("endpoint"),
                                   grant_fields.integer("session"), grant_fields.integer("token"),
                                   grant_fields.text("type"), grant_fields.text("zone"),
                                   grant_fields.flag("spot"), grant_fields.amount("cpus"),
                                   grant_fields.amount("gpus"), grant_fields.amount("ram_gb")});
    }
    return response;
}

// Packs shards, tasks and launches as arrays without names, because the store limits a value to a
// few KiB.
void pack_inventory(Packer& packer, const InventoryRecord& inventory) {
    packer.pack_map(7);
    pack_field(packer, "for_term", inventory.for_term);
    pack_field(packer, "term", inventory.term);
    pack_field(packer, "version", inventory.version);
    pack_field(packer, "pages", inventory.pages);
    pack_key(packer, "shares");
    pack_shard_inventories(packer, inventory.shards);
    pack_key(packer, "held");
    packer.pack_array(static_cast<std::uint32_t>(inventory.tasks.size()));
    for (const auto& remote_task : inventory.tasks) {
        packer.pack_array(7);
        packer.pack(to_string(remote_task.status.task));
        packer.pack(remote_task.status.attempt);
        packer.pack(static_cast<int>(remote_task.status.stage));
        packer.pack(static_cast<int>(remote_task.status.exit_reason));
        packer.pack(remote_task.machine);
        packer.pack(remote_task.zone);
        packer.pack((remote_task.resources_unknown ? 1 : 0) + (remote_task.draining ? 2 : 0) +
                    (remote_task.preemption_notice ? 4 : 0));
    }
    pack_key(packer, "open");
    packer.pack_array(static_cast<std::uint32_t>(inventory.pending_launches.size()));
    for (const auto& id : inventory.pending_launches) {
        packer.pack_array(2);
        packer.pack(id.attempt);
        packer.pack(id.index);
    }
}

InventoryRecord unpack_inventory(const Fields& fields) {
    InventoryRecord inventory;
    inventory.for_term = fields.integer("for_term");
    inventory.term = fields.integer("term");
    inventory.version = fields.integer("version");
    inventory.pages = unpack_index(fields.required("pages"), "pages");
    for (const auto* item : fields.list("shares")) {
        inventory.shards.push_back(unpack_shard_inventory(*item));
    }
    for (const auto* item : fields.list("held")) {
        auto values = Fields::as_list(*item, "held");
        if (values.size() != 7 ||
            Fields::as_integer(*values[2], "held") >= kTaskStageNames.size() ||
            Fields::as_integer(*values[3], "held") >= kExitReasonNames.size()) {
            throw MessageError("held: not a task");
        }
        std::uint64_t flags = Fields::as_integer(*values[6], "held");
        inventory.tasks.push_back(
            {{parse_task_id(Fields::as_text(*values[0], "held")),
              Fields::as_integer(*values[1], "held"),
              static_cast<TaskStage>(Fields::as_integer(*values[2], "held")),
              static_cast<ExitReason>(Fields::as_integer(*values[3], "held"))},
             Fields::as_text(*values[4], "held"),
             Fields::as_text(*values[5], "held"),
             (flags & 1) != 0,
             (flags & 2) != 0,
             (flags & 4) != 0});
    }
    for (const auto* item : fields.list("open")) {
        auto id = Fields::as_list(*item, "open");
        if (id.size() != 2) {
            throw MessageError("open: not a start");
        }
        inventory.pending_launches.push_back(
            {Fields::as_integer(*id[0], "open"), unpack_index(*id[1], "open")});
    }
    return inventory;
}

void pack_lease_extension_request(Packer& packer, const LeaseExtensionRequest& request) {
    packer.pack_map(5);
    pack_field(packer, "part", request.partition);
    pack_field(packer, "term", request.term);
    pack_field(packer, "for_s", request.duration_s);
    pack_field(packer, "silent_s", request.cancellations_age_s);
    pack_field(packer, "config", request.quota_revision);
}

void pack_lease_extension_response(Packer& packer, const LeaseExtensionResponse& response) {
    packer.pack_map(4);
    pack_field(packer, "reaches", response.store_reachable);
    pack_field(packer, "given", response.granted);
    pack_field(packer, "cancelled", response.cancelled_jobs);
    pack_key(packer, "teams");
    packer.pack_array(static_cast<std::uint32_t>(response.quota_changes.size()));
    for (const auto& change : response.quota_changes) {
        packer.pack_map(3);
        pack_field(packer, "team", change.team);
        pack_field(packer, "revision", change.revision);
        pack_key(packer, "record");
        pack_record(packer, QuotaRecord{change.quota.value_or(TeamQuota{})});
    }
}

LeaseExtensionResponse unpack_lease_extension_response(const Fields& fields) {
    LeaseExtensionResponse response{
        fields.flag("reaches"), fields.flag("given"), unpack_text_list(fields, "cancelled"), {}};
    if (fields.find("teams")) { // missing from a controller of the previous version
        for (const auto* item : fields.list("teams")) {
            Fields quota_fields(*item);
            response.quota_changes.push_back({quota_fields.text("team"),
                                              unpack_quota(Fields(quota_fields.required("record"))),
                                              quota_fields.integer("revision")});
        }
    }
    return response;
}

void pack_quota_status(Packer& packer, const QuotaStatus& status) {
    packer.pack_map(7);
    pack_field(packer, "revision", status.revision);
    pack_field(packer, "age_s", status.age_s);
    pack_field(packer, "team", status.quota.name);
    pack_key(packer, "record");
    pack_record(packer, QuotaRecord{status.quota});
    pack_field(packer, "in_force", status.effective_revision);
    pack_field(packer, "since_s", status.effective_for_s);
    pack_field(packer, "held", status.blocked);
}

QuotaStatus unpack_quota_status(const Fields& fields) {
    QuotaStatus status;
    status.revision = fields.integer("revision");
    status.age_s = fields.amount("age_s");
    status.quota = unpack_quota(Fields(fields.required("record")));
    status.quota.name = fields.text("team");
    status.effective_revision = fields.integer("in_force");
    status.effective_for_s = fields.amount("since_s");
    status.blocked = fields.flag("held");
    return status;
}

std::string parse_quota_status_query(const std::string& body) {
    auto handle = unpack_body(body);
    return Fields(handle.get()).text("team");
}

LeaseExtensionRequest parse_lease_extension_request(const std::string& body) {
    auto handle = unpack_body(body);
    Fields fields(handle.get());
    LeaseExtensionRequest request;
    request.partition = static_cast<int>(std::min<std::uint64_t>(fields.integer("part"), 1 << 20));
    request.term = fields.integer("term");
    request.duration_s = fields.amount("for_s");
    request.cancellations_age_s = fields.amount("silent_s");
    request.quota_revision = fields.find("config") ? fields.integer("config") : 0;
    return request;
}

void pack_cancellations(Packer& packer, const std::vector<std::string>& jobs) {
    packer.pack_map(1);
    pack_field(packer, "jobs", jobs);
}

std::vector<std::string> parse_cancellations(const std::string& body) {
    auto handle = unpack_body(body);
    return unpack_text_list(Fields(handle.get()), "jobs");
}

PeerSyncRequest parse_peer_sync_request(const std::string& body) {
    auto handle = unpack_body(body);
    return unpack_peer_sync_request(Fields(handle.get()));
}

} // namespace scheduler::wire
