// Golden encodings of the records in the key-value store, by kind of key; see wire_format.h.
#include "wire_format.h"

#include <gtest/gtest.h>

namespace scheduler::test {
namespace {

JobSpec minimal_job() {
    JobSpec job;
    job.id = "req-1";
    job.job_class = "c";
    job.team = "t";
    job.priority = Priority::low;
    job.tasks = 1;
    job.image = "i";
    return job;
}

JobSpec full_job() {
    JobSpec job;
    job.id = "req-000412";
    job.job_class = "train";
    job.team = "vision";
    job.kind = JobKind::gang;
    job.priority = Priority::high;
    job.tasks = 70000;
    job.cpus = 8.5;
    job.gpus = 2;
    job.ram_gb = 64.25;
    job.image = "img-07";
    job.image_gb = 6.2;
    job.types = {"g8", "c16"};
    job.zone = "east";
    job.one_zone = true;
    job.spread = false;
    job.spot = true;
    job.estimated_run_s = 240.5;
    job.checkpoint_interval_s = 30.5;
    job.save_duration_s = 4.5;
    job.deadline_s = 900.5;
    return job;
}

JobSpec service_job() {
    JobSpec job = minimal_job();
    job.kind = JobKind::service;
    job.priority = Priority::production;
    job.spread = true;
    job.spot = true; // together with the full job, no two flags have the same values
    job.types.emplace();
    return job;
}

JobSpec normal_job() {
    JobSpec job = minimal_job();
    job.priority = Priority::normal;
    job.zone = "";
    job.deadline_s = 0;
    return job;
}

// Contains the fields that every version has written, without the optional ones.
std::string job_without_optional_fields() {
    return packed_map({{"uid", packed("req-1")},
                       {"bloom", packed("c")},
                       {"grower", packed("t")},
                       {"habit", packed("batch")},
                       {"rank", packed("idle")},
                       {"petals", packed(1)},
                       {"cpus", packed(0.0)},
                       {"cards", packed(0.0)},
                       {"ram_gb", packed(0.0)},
                       {"bulb", packed("i")},
                       {"pull_gb", packed(0.0)},
                       {"one_zone", packed(false)},
                       {"spread", packed(false)},
                       {"cuttings", packed(false)},
                       {"bloom_s", packed(0.0)},
                       {"pot_s", packed(0.0)},
                       {"repot_s", packed(0.0)}});
}

InstanceType full_machine_type() {
    InstanceType type;
    type.name = "g8";
    type.cpus = 96;
    type.gpus = 8;
    type.ram_gb = 768.5;
    type.cache_gb = 400;
    type.fetch_gb_per_s = 1.25;
    type.price = 12.5;
    type.spot_price = 4.75;
    type.boot_s = 45;
    type.zones = {"east", "west"};
    return type;
}

InstanceType minimal_machine_type() {
    InstanceType type;
    type.name = "c1";
    type.cpus = 1;
    type.ram_gb = 2;
    return type;
}

std::string catalog_without_spot_price() {
    std::string type = packed_map({{"sku", packed("c1")},
                                   {"cpus", packed(1.0)},
                                   {"cards", packed(0.0)},
                                   {"ram_gb", packed(2.0)},
                                   {"cache_gb", packed(0.0)},
                                   {"pull_gb_per_s", packed(0.0)},
                                   {"rate", packed(3.5)},
                                   {"startup_s", packed(0.0)},
                                   {"houses", packed_list({packed("east")})}});
    return packed_map({{"benches", packed_list({type})}});
}

CatalogRecord catalog_with_spot_price_as_usual() {
    InstanceType type = minimal_machine_type();
    type.price = 3.5;
    type.spot_price = 3.5;
    type.zones = {"east"};
    return {{type}};
}

// Contains each task stage, each exit reason and each combination of the flags.
InventoryRecord full_inventory() {
    constexpr int kReasons = static_cast<int>(ExitReason::unknown) + 1;
    constexpr int kStages = static_cast<int>(TaskStage::exited) + 1;
    InventoryRecord inventory{9, 8, 77, 3, {}, {}, {{1ULL << 40, 2}, {5, 0}}};
    for (int flags = 0; flags < 4; ++flags) {
        inventory.shards.push_back(
            {{flags + 1, 300 + flags}, (1ULL << 33) + flags, (flags & 1) != 0, (flags & 2) != 0});
    }
    for (int i = 0; i < kReasons; ++i) {
        RemoteTaskStatus remote_task;
        remote_task.status.task = {"req-000412", static_cast<std::uint32_t>(i)};
        remote_task.status.attempt = (1ULL << 50) + i;
        remote_task.status.stage = static_cast<TaskStage>(i % kStages);
        remote_task.status.exit_reason = static_cast<ExitReason>(i);
        remote_task.machine = "i-" + std::to_string(i);
        remote_task.zone = "east";
        remote_task.resources_unknown = (i & 1) != 0;
        remote_task.draining = (i & 2) != 0;
        remote_task.preemption_notice = (i & 4) != 0;
        inventory.tasks.push_back(remote_task);
    }
    return inventory;
}

// A record that decodes to a value with the same encoding.
GoldenEncoding record_encoding(const std::string& name, const std::string& key,
                               const StoredRecord& record) {
    return {"record/" + name, [=] { return stored_bytes(key, record); },
            [=](const std::string& golden) {
                StoredRecord read = read_record(key, golden);
                EXPECT_EQ(read.index(), record.index());
                expect_same_bytes(stored_bytes(key, read), golden);
            }};
}

// A record that only another version writes: it decodes to the expected value.
GoldenEncoding foreign_record_encoding(const std::string& name, const std::string& key,
                                       const std::string& bytes, const StoredRecord& expected) {
    return {"record/" + name, [=] { return bytes; },
            [=](const std::string& golden) {
                StoredRecord read = read_record(key, golden);
                EXPECT_EQ(read.index(), expected.index());
                expect_same_bytes(stored_bytes(key, read), stored_bytes(key, expected));
            }};
}

std::vector<GoldenEncoding> job_record_encodings() {
    const std::string key = "job/req-1";
    const std::string progress_key = "done/req-1/0";
    const std::vector<bool> bits{true,  false, false, true, true, false, true, true,
                                 false, false, false, true, true, true,  true, true};
    return {
        record_encoding("job/open_minimal", key, JobRecord{Outcome::none, minimal_job()}),
        record_encoding("job/open_full", key, JobRecord{Outcome::none, full_job()}),
        record_encoding("job/open_service_production", key,
                        JobRecord{Outcome::none, service_job()}),
        record_encoding("job/open_array_normal", key, JobRecord{Outcome::none, normal_job()}),
        record_encoding("job/done", key, JobRecord{Outcome::done, {}}),
        record_encoding("job/cancelled", key, JobRecord{Outcome::cancelled, {}}),
        record_encoding("job/cancelled_with_job", key,
                        JobRecord{Outcome::cancelled, minimal_job()}),
        foreign_record_encoding(
            "job/open_without_optional_fields", key,
            packed_map({{"outcome", packed("none")}, {"job", job_without_optional_fields()}}),
            JobRecord{Outcome::none, minimal_job()}),
        foreign_record_encoding("job/open_without_job", key,
                                packed_map({{"outcome", packed("none")}}), UnreadableRecord{}),
        record_encoding("progress/empty", progress_key, ProgressRecord{}),
        record_encoding("progress/full", progress_key, ProgressRecord{bits}),
        // The bits are padded to a whole hex digit.
        record_encoding("progress/five_tasks", progress_key,
                        ProgressRecord{{false, true, false, false, true}}),
    };
}

std::vector<GoldenEncoding> partition_record_encodings() {
    return {
        record_encoding("part/knows_shares", "part/1", PartitionRecord{"n1", true}),
        record_encoding("part/knows_no_shares", "part/1", PartitionRecord{"n1", false}),
        foreign_record_encoding("part/older", "part/1", packed_map({{"node", packed("n1")}}),
                                PartitionRecord{"n1", false}),
        foreign_record_encoding("part/newer", "part/1",
                                packed_map({{"not_known", packed_list({packed(1)})},
                                            {"knows_shares", packed(true)},
                                            {"node", packed("n1")}}),
                                PartitionRecord{"n1", true}),
        record_encoding("part/home", "part/1/home", PartitionRecord{"n2", true}),
        foreign_record_encoding("part/home_older", "part/1/home",
                                packed_map({{"node", packed("n2")}}), PartitionRecord{"n2", false}),
        record_encoding("part/shares", "part/1/shares", ShardHoldersRecord{{1, 0, 4, 127}}),
        record_encoding("part/shares_empty", "part/1/shares", ShardHoldersRecord{}),
        foreign_record_encoding("part/shares_holder_out_of_range", "part/1/shares",
                                stored_bytes("part/1/shares", ShardHoldersRecord{{500}}),
                                ShardHoldersRecord{{128}}),
        foreign_record_encoding(
            "part/shares_of_unknown_format", "part/1/shares",
            packed_map({{"format", packed(2)}, {"holders", packed_list({packed(1)})}}),
            UnreadableRecord{}),
        record_encoding("account/minimal", "account/1/2/0", InventoryRecord{}),
        record_encoding("account/full", "account/1/2/0", full_inventory()),
    };
}

// Has nil where the data should be: the whole response is unreadable, with status 0.
GoldenEncoding unreadable_record_encoding() {
    return {"record/unreadable", [] { return stored_bytes("job/req-1", UnreadableRecord{}); },
            [](const std::string& golden) {
                std::string body = packed_map({{"data", golden}, {"graft", packed(7)}});
                OutboundResponse response =
                    wire::decode_response(1, StoreGet{"job/req-1"}, 200, body);
                EXPECT_EQ(response.status, 0);
                EXPECT_TRUE(response.entries.empty());
            }};
}

std::vector<GoldenEncoding> cluster_record_encodings() {
    const std::string team_key = std::string("config/team/") + "red";
    return {
        record_encoding("machine/on_demand", "machine/0/i-1",
                        MachineRecord{"10.0.0.9:9000", "g8", "east", false}),
        record_encoding("machine/spot", "machine/0/i-1",
                        MachineRecord{"10.0.0.9:9000", "g8", "east", true}),
        record_encoding("catalog/empty", "catalog", CatalogRecord{}),
        record_encoding("catalog/full", "catalog",
                        CatalogRecord{{full_machine_type(), minimal_machine_type()}}),
        foreign_record_encoding("catalog/without_spot_price", "catalog",
                                catalog_without_spot_price(), catalog_with_spot_price_as_usual()),
        record_encoding("team/minimal", team_key, QuotaRecord{}),
        record_encoding("team/full", team_key, QuotaRecord{{"", 16, 24.5, 1, 2.5}}),
        unreadable_record_encoding(),
    };
}

} // namespace

std::vector<GoldenEncoding> record_encodings() {
    std::vector<GoldenEncoding> encodings = job_record_encodings();
    for (const auto& group : {partition_record_encodings(), cluster_record_encodings()}) {
        encodings.insert(encodings.end(), group.begin(), group.end());
    }
    return encodings;
}

} // namespace scheduler::test
