// Records in the key-value store, one struct per kind of key. wire/records.h encodes them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/model/quota.h"
#include "core/model/shard_id.h"
#include "core/model/task.h"

namespace scheduler {

// job/<id>: a submitted job. The final record keeps the outcome only.
struct JobRecord {
    Outcome outcome = Outcome::none;
    std::optional<JobSpec> spec;
};

// done/<id>/<chunk>: the completed tasks of one chunk of a job.
struct ProgressRecord {
    std::vector<bool> done;
};

// part/<p>: the leader of a partition, attached to its store lease. part/<p>/home: the home
// controller's request to lead the partition again.
struct PartitionRecord {
    std::string node;               // name of the controller
    bool supports_sharding = false; // the leader uses the map of shard holders
};

// part/<home>/shares: the partition that holds each of the home's shards, by number. See shards.h.
struct ShardHoldersRecord {
    std::vector<int> holders;
};

// machine/<home>/<name>: an entry of the machine registry, stored under the home partition of the
// machine's shard regardless of the partition that holds the shard.
struct MachineRecord {
    std::string endpoint;
    std::string type;
    std::string zone;
    bool spot = false;
};

// catalog: the latest list of instance types from the cloud, used to start while the cloud is down.
struct CatalogRecord {
    std::vector<InstanceType> types;
};

// account/<part>/<holder>/<page>: the inventory that a holder of shards posts for a new leader of
// the partition that cannot reach the holder, see recovery/inventory_relay.h. All pages of an
// inventory have the same terms and version.
struct InventoryRecord {
    std::uint64_t for_term = 0; // of the leader that the inventory is for
    std::uint64_t term = 0;     // of the holder's leadership
    std::uint64_t version = 0;  // of the holder's inventory
    std::uint32_t pages = 0;    // total number of pages of this inventory
    std::vector<ShardInventory> shards;
    std::vector<RemoteTaskStatus> tasks;
    std::vector<LaunchId> pending_launches; // see PeerSyncResponse
};

// config/team/<name>: a team's quota, changed at run time. Only the key has the team's name.
struct QuotaRecord {
    TeamQuota quota;
};

// A value that cannot be decoded. It must not be treated as absent and overwritten.
struct UnreadableRecord {};

using StoredRecord =
    std::variant<UnreadableRecord, JobRecord, ProgressRecord, PartitionRecord, ShardHoldersRecord,
                 MachineRecord, CatalogRecord, InventoryRecord, QuotaRecord>;

// A record with its key, as the store returned it.
struct KeyedRecord {
    std::string key;
    StoredRecord record;
    std::uint64_t version = 0; // revision of the last write to the key
};

} // namespace scheduler
