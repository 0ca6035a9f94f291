// Messages between controllers.
//
// Peer sync (work stealing): the leader of the jobs sends a request to the leader of the machines,
// with the slots it needs and commands for its tasks on those machines. The response grants slots
// and lists the tasks of the caller's partition: on every machine at first, then on the machines
// whose inventory has changed since the response that the caller acknowledges.
//
// Lease extension: a controller that cannot reach the store requests that its peers do not campaign
// for its partition for a while. Cancellation broadcast: a controller sends cancelled jobs to its
// peers.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/messaging/request_ids.h"
#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/model/quota.h"
#include "core/model/shard_id.h"
#include "core/model/task.h"

namespace scheduler {

// Requests slots for pending tasks of one job of the caller. The fields from `cpus` to
// `spot` are those of JobSpec, the ones after them are the job's place in the pending queue.
struct SlotRequest {
    std::string job;
    JobKind kind = JobKind::array;
    std::uint64_t attempt = 0;               // of a gang ...
    std::vector<std::uint32_t> gang_members; // ... and its tasks to grant slots for, all or none
    bool one_zone = false;
    bool spread = false;
    std::uint32_t gang_size = 0; // of the whole gang, not only the members requested
    bool preempt = false;        // preempt tasks of lower precedence for it
    // For a gang: grant the slots that are free; the rest are requested from other leaders.
    bool accepts_partial = false;
    std::uint32_t count = 0; // how many tasks to grant slots for
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool spot = false;
    Priority priority = Priority::normal;
    bool over_guarantee = false;  // the team would use more than it is guaranteed
    bool bottleneck_team = false; // its team's pending work takes longest to finish
    bool starving = false;        // its class or team would be left without any slots
    double age_s = 0;             // since the job was first seen
    double due_s = 0;             // until the job's next service-level objective is missed
};

// A command for a task of the caller's partition on a machine of the callee's partition. Repeated
// in every request until one of them has been answered.
struct RemoteTaskCommand {
    // `stop`: stops the task. `clear`: clears it after its exit was processed. `describe`: states
    // its resources, which the machine's leader lacks after a failover. `return_slot`: returns a
    // slot to which no start was sent.
    enum class Type { stop, clear, describe, return_slot };
    Type type = Type::stop;
    std::string machine;
    LaunchId launch;
    double grace_s = 0; // stop: seconds to save the task's state
    // From here on only `describe` sets the fields. They are those of JobSpec.
    JobKind kind = JobKind::array;
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    std::string image;
    double image_gb = 0;
};

// Pending tasks with the same requirements, for which some slots are of no use.
struct TaskGroup {
    std::vector<std::string> types; // that each task may run on, in ascending order; not empty
    std::vector<std::string> zones; // that each task may run in, in ascending order; empty: any
    bool spot = false;              // may run on spot machines
    double cpus = 0;                // of each task
    double gpus = 0;
    double ram_gb = 0;
    std::uint32_t tasks = 0; // that are to run at a time
    double slots = 0;        // the part of the demand's sums that they account for
};

// Machines of one pool by their idle part. The element at `i` counts those of which at least `i +
// 1` parts are idle, and fewer than `i + 2`. A machine has kIdleParts parts.
inline constexpr std::size_t kIdleParts = 8;
using MachinesByIdleParts = std::array<std::uint32_t, kIdleParts>;
using IdleMachines = std::map<MachinePool, MachinesByIdleParts>;

// The pending and running work of a partition, in slots.
struct Demand {
    double on_demand_slots = 0;     // for jobs that may not use spot machines
    double spot_eligible_slots = 0; // for jobs that may
    double remaining_slot_s = 0;    // estimated run time left, in slot seconds
    // Of the pending work, slots that only one zone can give, by zone.
    std::map<std::string, double> zone_bound_slots;
    // The pending work for which some slots are of no use. The sums above include it.
    std::vector<TaskGroup> groups;
};

// The usable machines of a partition, in slots, and the spare capacity of its leader.
struct PartitionCapacity {
    double on_demand_slots = 0;
    double spot_slots = 0;
    double cpu_headroom = 1;     // of the leader's processor, see sharding/shard_balancer.h
    bool accepts_shards = false; // the leader receives heartbeats and can take a shard
    // Absent: the sender is of a version that does not report them.
    std::optional<IdleMachines> idle;
    double total_slots() const { return on_demand_slots + spot_slots; }
};

// A machine of the callee's partition that the caller provisioned on behalf of all partitions.
struct ProvisionedMachine {
    std::string machine;
    std::string type;
    std::string zone;
    bool spot = false;
};

// A shard that the caller has migrated to the callee's partition.
struct ShardTransfer {
    ShardId shard;
    std::uint64_t revision = 0; // of the store transaction that reassigned it
    std::uint64_t term = 0;     // of the callee's leadership that received it
};

// From the leader of `from_partition` to the leader of `to_partition`.
struct PeerSyncRequest {
    int from_partition = 0;
    std::uint64_t term = 0;     // of the caller's leadership
    std::uint64_t sequence = 0; // of the request within the term; 0: not numbered
    int to_partition = 0;
    std::vector<SlotRequest> slot_requests;
    std::uint32_t max_slots = 0; // limit of grants for all slot requests together
    std::vector<RemoteTaskCommand> commands;
    std::vector<ProvisionedMachine> provisioned;
    std::vector<ShardTransfer> transfers;
    std::uint64_t acked_term = 0;    // of the latest response that the caller processed ...
    std::uint64_t acked_version = 0; // ... and its version; 0: send the full inventory
    Demand demand;
    PartitionCapacity capacity;
};

// Slots for one task, lent to the caller. The lender has removed them from its own list, so only
// the caller may start a task there, with a direct command under the token and epoch given here.
struct SlotGrant {
    LaunchId launch;
    std::string job;
    std::string machine;
    std::string endpoint;
    std::uint64_t agent_epoch = 0;
    std::uint64_t fencing_token = 0;
    std::string type; // of the machine
    std::string zone;
    bool spot = false;
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
};

// The response to PeerSyncRequest.
struct PeerSyncResponse {
    std::uint64_t term = 0;       // of the callee's leadership
    bool reconciled = false;      // every machine of the partition is reconciled
    bool no_stale_grants = false; // no slot is lent to an earlier leader of the caller's partition
    bool complete = false;        // the inventory covers every shard, not only changes
    std::optional<std::vector<ShardInventory>> shards; // absent: sender without sharding
    std::uint64_t version = 0;                         // of the inventory, to be acknowledged
    std::vector<std::string> machines;                 // whose tasks are listed completely
    Demand demand;
    PartitionCapacity capacity;
    std::vector<RemoteTaskStatus> tasks;
    std::vector<LaunchId> pending_launches; // lent slots whose task start is not confirmed
    std::vector<SlotGrant> grants;
};

// A received sync request of a peer.
struct PeerSyncReceived {
    RequestId request_id = 0;
    PeerSyncRequest sync;
};

// Sent by a controller that cannot reach the store: queries the state of a peer, and requests that
// the peer does not campaign for the partition for a while. See leadership/lease_extender.h.
struct LeaseExtensionRequest {
    int partition = 0;      // the home partition of the caller
    std::uint64_t term = 0; // of its leadership; 0: not the leader, only queries the peer
    double duration_s = 0;  // counted by the peer from the arrival of the request
    // Time since the caller last knew all cancelled jobs.
    double cancellations_age_s = 0;
    std::uint64_t quota_revision = 0; // the caller applies all quota changes up to this one
};

// The response to LeaseExtensionRequest.
struct LeaseExtensionResponse {
    bool store_reachable = false;            // the peer can reach the store
    bool granted = false;                    // the peer will not campaign for the partition
    std::vector<std::string> cancelled_jobs; // cancellations that the caller may have missed
    std::vector<QuotaChange> quota_changes;  // above the caller's revision
};

// A received lease extension request of a peer.
struct LeaseExtensionReceived {
    RequestId request_id = 0;
    LeaseExtensionRequest extension;
};

// A received cancellation broadcast. The peer confirms the cancellations to the users once this
// request is answered.
struct CancellationsReceived {
    RequestId request_id = 0;
    std::vector<std::string> jobs;
};

// The outbound requests to a peer; `node` is the name of its controller.
struct PeerSyncCall {
    std::string node;
    PeerSyncRequest sync;
};
struct LeaseExtensionCall {
    std::string node;
    LeaseExtensionRequest extension;
};
struct CancellationCall {
    std::string node;
    std::vector<std::string> jobs;
};

} // namespace scheduler
