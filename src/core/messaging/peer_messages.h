// Messages between controllers.
//
// Peer sync: the leader of the jobs calls the leader of the machines (work stealing). The request
// says which slots it wants and what is to happen to its tasks there. The response grants slots and
// lists the tasks of the caller's partition: on every machine at first, then on those whose
// inventory has changed since the response that the caller acknowledges.
//
// Lease extension: a controller that the store does not answer asks its peers to leave its
// partition alone for a while. Cancellation: a controller names cancelled jobs to its peers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/messaging/request_ids.h"
#include "core/model/job.h"
#include "core/model/quota.h"
#include "core/model/shard_id.h"
#include "core/model/task.h"

namespace scheduler {

// Slots that the caller wants for pending tasks of one of its jobs. The fields from `cpus` to
// `spot` are those of JobSpec, the ones after them are the job's place in the pending queue.
struct SlotRequest {
    std::string job;
    JobKind kind = JobKind::array;
    std::uint64_t attempt = 0;               // of a gang ...
    std::vector<std::uint32_t> gang_members; // ... and its tasks to grant slots for, all or none
    bool one_zone = false;
    bool spread = false;
    std::uint32_t gang_size = 0; // of the whole gang, not only the members requested
    bool preempt = false;        // tasks that may be stopped for it are to be preempted
    // For a gang, grant as many slots as there are: other leaders are asked for the rest.
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
    bool bottleneck_team = false; // the work of its team takes longest to finish
    bool starving = false;        // its class or team must not be left without any slots
    double age_s = 0;             // since the job was first seen
    double due_s = 0;             // until the job's next service-level objective is missed
};

// A command about a task of the caller's partition on a machine of the callee's. Repeated in every
// request until one has been answered.
struct RemoteTaskCommand {
    // `stop` the task; `clear` it after its exit was taken in; `describe` its resources, which the
    // machine's leader lacks after a failover; `return_slot`: no start was sent to this slot.
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

// The pending and running work of a partition, in slots.
struct Demand {
    double on_demand_slots = 0;     // for jobs that may not use spot machines
    double spot_eligible_slots = 0; // for jobs that may
    double remaining_slot_s = 0;    // estimated run time left, in slot seconds
    // Of the pending work, slots that only one zone can give, by zone.
    std::map<std::string, double> zone_bound_slots;
};

// The usable machines of a partition, in slots, and the load of its leader.
struct PartitionCapacity {
    double on_demand_slots = 0;
    double spot_slots = 0;
    double cpu_headroom = 1;     // of the leader's processor, see sharding/shard_balancer.h
    bool accepts_shards = false; // the leader hears its machines and can take a shard now
    double total_slots() const { return on_demand_slots + spot_slots; }
};

// A machine of the callee's partition that the caller rented on behalf of all partitions.
struct ProvisionedMachine {
    std::string machine;
    std::string type;
    std::string zone;
    bool spot = false;
};

// A shard that the caller has migrated to the callee's partition.
struct ShardTransfer {
    ShardId shard;
    std::uint64_t revision = 0; // of the store transaction that did it
    std::uint64_t term = 0;     // the term of the callee's leadership that it was given to
};

// From the leader of `from_partition` to the leader of `to_partition`.
struct PeerSyncRequest {
    int from_partition = 0;
    std::uint64_t term = 0;     // of the caller's leadership
    std::uint64_t sequence = 0; // of the request, under that term; 0: the caller does not count
    int to_partition = 0;
    std::vector<SlotRequest> slot_requests;
    std::uint32_t max_slots = 0; // most grants, over all slot requests
    std::vector<RemoteTaskCommand> commands;
    std::vector<ProvisionedMachine> provisioned;
    std::vector<ShardTransfer> transfers;
    std::uint64_t acked_term = 0;    // of the latest response that the caller took in ...
    std::uint64_t acked_version = 0; // ... and its version; 0: list everything
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
    bool reconciled = false;      // every machine of the partition is
    bool no_stale_grants = false; // no slot is lent to an earlier leader of the caller's partition
    bool complete = false;        // the inventory covers every shard, not only what has changed
    std::optional<std::vector<ShardInventory>> shards; // none: the sender does not know shards
    std::uint64_t version = 0;                         // of the inventory, to be acknowledged
    std::vector<std::string> machines;                 // whose inventory is listed here in full
    Demand demand;
    PartitionCapacity capacity;
    std::vector<RemoteTaskStatus> tasks;
    std::vector<LaunchId> pending_launches; // slots lent whose start has not shown yet
    std::vector<SlotGrant> grants;
};

// A peer's sync request has arrived.
struct PeerSyncReceived {
    RequestId request_id = 0;
    PeerSyncRequest sync;
};

// A controller that the store does not answer asks a peer how it fares, and not to campaign for the
// partition for a while. See leadership/lease_extender.h.
struct LeaseExtensionRequest {
    int partition = 0;      // the home partition of the caller
    std::uint64_t term = 0; // of its leadership; 0: it has none and only asks how the peer fares
    double duration_s = 0;  // counted by the peer from the arrival of the request
    // How long ago the caller's knowledge of cancelled jobs was complete.
    double cancellations_age_s = 0;
    std::uint64_t quota_revision = 0; // quota changes up to this one are in force at the caller
};

// The response to LeaseExtensionRequest.
struct LeaseExtensionResponse {
    bool store_reachable = false;            // the store answers the peer
    bool granted = false;                    // the peer will not campaign for the partition
    std::vector<std::string> cancelled_jobs; // that the caller may have missed
    std::vector<QuotaChange> quota_changes;  // above the caller's revision
};

// A peer's request for a lease extension has arrived.
struct LeaseExtensionReceived {
    RequestId request_id = 0;
    LeaseExtensionRequest extension;
};

// A peer has cancelled these jobs and will tell their users once this is answered.
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
