// Inputs and outputs of the core. The core never waits: it answers an input with what to do.
#pragma once

#include "core/model/shards.h"
#include <algorithm>

namespace scheduler {

using RequestId = std::uint64_t;
using OutboundRequestId = std::uint64_t;

// From users and workers.
struct SubmitJob {
    RequestId request_id = 0;
    JobSpec spec;
};
struct PollJob {
    RequestId request_id = 0;
    std::string job;
};
struct CancelJob {
    RequestId request_id = 0;
    std::string job;
};
struct ReadinessProbe {
    RequestId request_id = 0;
};
struct HeartbeatReceived {
    RequestId request_id = 0;
    Heartbeat heartbeat;
};

// Between owners of parts. The owner of the jobs calls the owner of the machines; the call says
// what it wants and how things stand with its tasks there, the reply hands over slots and lists
// the tasks of the caller's part: on every machine at first, then on those whose listing has
// changed since the reply that the caller has seen.
struct SlotRequest { // slots wanted for waiting tasks of one job
    std::string job;
    JobKind kind = JobKind::array;
    std::uint64_t attempt = 0;               // a gang's ...
    std::vector<std::uint32_t> gang_members; // ... and for which of its tasks: all of them or none
    bool one_zone = false;
    bool spread = false;
    std::uint32_t gang_size = 0;  // of the whole gang
    bool preempt = false;         // tasks that may be stopped for it are to make room
    bool accepts_partial = false; // as many as there are: other owners are asked for the rest
    std::uint32_t count = 0;
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool spot = false;
    Priority priority = Priority::normal;
    bool over_guarantee = false;
    bool bottleneck_team = false; // its team's work takes longest
    bool starving = false;        // its class or team is to keep a share
    double age_s = 0;
    double due_s = 0; // until the job's next aim
};
struct RemoteTaskCommand { // about a task on the callee's machines, repeated until a call was
                           // answered
    enum class Type {
        stop,
        clear,
        describe,
        return_slot
    }; // back: no start was sent to these slots
    Type type = Type::stop;
    std::string machine;
    LaunchId launch;
    double grace_s = 0; // stop
    JobKind kind = JobKind::array;
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    std::string image;
    double image_gb = 0;
};
// Work that waits or runs, in slots.
struct Demand {
    double on_demand_slots = 0;  // for jobs that may not use spot machines
    double any_kind_slots = 0;   // for jobs that may
    double remaining_slot_s = 0; // run time left of all of it, by the estimates
    std::map<std::string, double>
        zone_bound_slots; // of what waits, slots that only one zone can give
};
struct PartitionCapacity { // slots of the usable machines of a part
    double on_demand_slots = 0;
    double spot_slots = 0;
    double cpu_headroom = 1;     // of its owner's processor, see balance.h
    bool accepts_shards = false; // its owner hears its machines and can take a share now
    double total_slots() const { return on_demand_slots + spot_slots; }
};
struct ProvisionedMachine { // a machine of the callee's part, rented by the caller for all
    std::string machine;
    std::string type;
    std::string zone;
    bool spot = false;
};
struct ShardTransfer { // a share that the caller gave to the callee's part
    ShardId shard;
    std::uint64_t revision = 0; // of the transaction that did
    std::uint64_t term = 0;     // of the callee's claim that it was given to
};
struct PeerSyncRequest {
    int from_partition = 0;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0; // of the call, under that term; 0: the caller does not count them
    int to_partition = 0;
    std::vector<SlotRequest> slot_requests;
    std::uint32_t max_slots = 0; // slots taken in all
    std::vector<RemoteTaskCommand> commands;
    std::vector<ProvisionedMachine> provisioned;
    std::vector<ShardTransfer> transfers;
    std::uint64_t acked_term = 0;    // the latest reply taken in: its term ...
    std::uint64_t acked_version = 0; // ... and its version; 0: list everything
    Demand demand;
    PartitionCapacity capacity;
};
struct SlotGrant { // slots handed over, struck from their owner's list
    LaunchId launch;
    std::string job;
    std::string machine;
    std::string endpoint;
    std::uint64_t agent_epoch = 0;
    std::uint64_t fencing_token = 0;
    std::string type;
    std::string zone;
    bool spot = false;
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
};
struct PeerSyncResponse {
    std::uint64_t term = 0;
    bool reconciled = false;      // every machine of the part is accounted for
    bool no_stale_grants = false; // no slot is out that an earlier owner of the caller's part got
    bool complete = false;        // every share is listed whole
    std::optional<std::vector<ShardInventory>> shards; // none: the sender knows no shares
    std::uint64_t version = 0;
    std::vector<std::string> machines;
    Demand demand;
    PartitionCapacity capacity;
    std::vector<RemoteTaskStatus> tasks;
    std::vector<LaunchId> pending_launches; // slots handed over whose start has not shown yet
    std::vector<SlotGrant> grants;
};
struct PeerSyncReceived {
    RequestId request_id = 0;
    PeerSyncRequest sync;
};

// A node that the state service does not answer asks its siblings how they fare, and to leave its
// part alone for a while: see promises.h.
struct LeaseExtensionRequest {
    int partition = 0;      // the home part of the node that asks
    std::uint64_t term = 0; // of its claim; 0: it holds none and only asks how the sibling fares
    double duration_s = 0;  // counted by the sibling from the coming of the question
    double cancellations_age_s =
        0; // since what the asking node knows of cancelled jobs was complete
    std::uint64_t quota_revision = 0; // the changes of teams up to this revision it has in force
};
struct LeaseExtensionResponse {
    bool store_reachable = false;            // the sibling has the state service
    bool granted = false;                    // it will not claim the part
    std::vector<std::string> cancelled_jobs; // that the asking node may have missed
    std::vector<QuotaChange> quota_changes;  // above the asking node's revision
};
struct LeaseExtensionReceived {
    RequestId request_id = 0;
    LeaseExtensionRequest extension;
};

// A sibling has cancelled these jobs and will tell their users once it has been answered.
struct CancellationsReceived {
    RequestId request_id = 0;
    std::vector<std::string> jobs;
};

// An operator asks how a team's configuration stands at this node.
struct QuotaStatusQuery {
    RequestId request_id = 0;
    std::string team;
};

// Calls to the state service and to the cloud.
struct StoreGet {
    std::string key;
};
struct StoreRange {
    std::string prefix;
    std::string after;
};
struct StoreCondition {
    std::string key;
    std::uint64_t version = 0;
};
struct StoreWrite {
    std::string key;
    std::optional<StoredRecord> value; // none: delete
    std::optional<std::uint64_t> lease;
};
struct StoreTransaction {
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
};
struct StoreLeaseGrant {
    double ttl_s = 0;
};
struct StoreLeaseRenewal {
    std::uint64_t lease = 0;
};
struct StoreWatch {
    std::string prefix;
    std::uint64_t from_revision = 0;
    double wait_s = 0;
};
struct ListInstanceTypes {};
struct ListInstances {
    std::string after;
};
struct ScaleOut {
    std::string order_id;
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;
};
struct ScaleIn {
    std::vector<std::string> machines;
};
// Direct commands to a worker.
struct WorkerCommands {
    std::string machine;
    std::string endpoint;
    std::uint64_t fencing_token = 0;
    std::uint64_t agent_epoch = 0;
    std::vector<WorkerCommand> commands;
};
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
// Only operators' commands make this one.
struct QuotaStatusCall {
    std::string team;
};
using OutboundBody =
    std::variant<StoreGet, StoreRange, StoreTransaction, StoreLeaseGrant, StoreLeaseRenewal,
                 StoreWatch, ListInstanceTypes, ListInstances, ScaleOut, ScaleIn, WorkerCommands,
                 PeerSyncCall, LeaseExtensionCall, CancellationCall, QuotaStatusCall>;

// The answer to a call; status 0 is no answer at all.
struct OutboundResponse {
    OutboundRequestId request_id = 0;
    int status = 0;
    bool never_sent = false; // it never left this process, and never will
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
    bool more = false;
    std::vector<KeyedRecord> entries; // a watch's deletion has the record Unreadable and `deleted`
    std::vector<std::string> deleted;
    std::vector<std::string> failed_keys;
    std::vector<InstanceType> instance_types;
    std::vector<Instance> instances;
    std::vector<std::string> accepted_machines;
    std::optional<Heartbeat> heartbeat;
    std::optional<PeerSyncResponse> peer_sync;
    std::optional<LeaseExtensionResponse> lease_extension;
    std::optional<QuotaStatus> quota_status;

    // Is the key among those that a transaction's conditions failed by?
    bool failed_on(const std::string& key) const {
        return std::find(failed_keys.begin(), failed_keys.end(), key) != failed_keys.end();
    }
};
struct TimerTick {};
using Input = std::variant<TimerTick, SubmitJob, PollJob, CancelJob, ReadinessProbe,
                           HeartbeatReceived, PeerSyncReceived, LeaseExtensionReceived,
                           CancellationsReceived, QuotaStatusQuery, OutboundResponse>;

// Outputs.
struct JobStatusBody {
    std::string id;
    std::string stage;
    std::optional<std::uint32_t> done;
    std::optional<std::uint32_t> running;
};
struct HeartbeatBody {
    std::uint64_t fencing_token = 0;
    std::vector<WorkerCommand> commands;
};
struct LeaderRedirect {
    std::string node; // empty: not known
};
struct TextBody {
    std::string text;
};
using ResponseBody = std::variant<TextBody, JobStatusBody, HeartbeatBody, LeaderRedirect,
                                  PeerSyncResponse, LeaseExtensionResponse, QuotaStatus>;
struct Response {
    RequestId request_id = 0;
    int status = 0;
    ResponseBody body;
    double retry_after_s = 0;
};
struct OutboundRequest {
    OutboundRequestId id = 0;
    OutboundBody body;
};
enum class LogLevel { error, info, debug };
struct LogLine {
    LogLevel level = LogLevel::info;
    std::string text;
};
struct Outputs {
    std::vector<Response> responses;
    std::vector<OutboundRequest> requests;
    std::vector<LogLine> log;
};

} // namespace scheduler
