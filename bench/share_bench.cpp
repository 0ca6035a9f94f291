// Measures shard migrations and the loss of a controller on the simulated cluster with a large
// number of machines: durations, messages, store transactions and inventory entries, and how long
// machines offer no slots. The clock is simulated; each message is delayed by 1 to 20 ms.
//
//   share_bench [machines]
#include <cstdio>
#include <cstdlib>

#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

using namespace scheduler;
using namespace scheduler::test;

namespace {
struct TimedLogLine {
    Time at = 0;
    std::string text;
};

double median(std::vector<double> values) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

// Returns the value of `shard=` in a log line.
std::string shard_of(const std::string& text) {
    auto at = text.find("shard=") + 6;
    return text.substr(at, text.find(' ', at) - at);
}

// Returns the number of messages sent between controllers, store and workers so far.
std::size_t message_count(const SimulatedCluster& cluster) {
    std::size_t sum = 0;
    for (const char* kind : {"get", "range", "txn", "watch", "orders", "peer"}) {
        sum += cluster.request_count(kind);
    }
    return sum;
}
} // namespace

int main(int argc, char** argv) {
    int machines = argc > 1 ? std::atoi(argv[1]) : 1000;
    SimulationOptions options{.seed = 1, .nodes = 5, .run_s = 2000, .boot_s = 5};
    options.limits = 1e6;
    options.capacity = static_cast<std::size_t>(machines);
    options.one_zone = true;
    options.state_rps = 350; // as at the larger of the two sites
    options.state_write_rps = 150;
    SimulatedCluster cluster(options);
    std::vector<TimedLogLine> log;
    cluster.on_log = [&](Time at, int, const std::string& text) { log.push_back({at, text}); };
    cluster.run_for(3);
    JobSpec spec = cluster.job("req-1", static_cast<std::uint32_t>(machines * 2), 4);
    cluster.submit(0, spec);
    for (int k = 0; k < 100 && cluster.machines_up().size() < static_cast<std::size_t>(machines);
         ++k) {
        cluster.run_for(5);
    }
    cluster.run_for(60);
    std::printf("machines %zu, shares %zu\n", cluster.machines_up().size(),
                all_shards(cluster.cluster_settings(0)).size());

    // Migrations, compared with an equally long period without any.
    auto count = [&](double seconds) {
        std::size_t messages_before = message_count(cluster);
        std::size_t transactions_before = cluster.request_count("txn");
        double listed_before = cluster.counts().listed;
        cluster.run_for(seconds);
        return std::array<double, 3>{
            static_cast<double>(message_count(cluster) - messages_before),
            static_cast<double>(cluster.request_count("txn") - transactions_before),
            cluster.counts().listed - listed_before};
    };
    auto baseline = count(20);
    log.clear();
    int migrations = 0;
    for (int k = 0; k < 5; ++k) {
        auto shards = cluster.held_shards(k);
        migrations += !shards.empty() && cluster.migrate_shard(k, shards[0], (k + 1) % 5);
    }
    auto during_migrations = count(20);
    std::map<std::string, Time> migration_started;
    std::vector<double> handover_s;
    std::vector<double> unavailable_s;
    for (const auto& line : log) {
        if (line.text.starts_with("event=shard_migration_started")) {
            migration_started[shard_of(line.text)] = line.at;
        } else if (line.text.starts_with("event=shard_migrated")) {
            handover_s.push_back(line.at - migration_started[shard_of(line.text)]);
        } else if (line.text.starts_with("event=shard_reconciled")) {
            unavailable_s.push_back(line.at - migration_started[shard_of(line.text)]);
        }
    }
    std::printf(
        "moves %d: until given, median %.3f s; until its machines give slots again, median "
        "%.3f s, most %.3f s\n",
        migrations, median(handover_s), median(unavailable_s),
        unavailable_s.empty() ? 0 : *std::max_element(unavailable_s.begin(), unavailable_s.end()));
    std::printf("a move: %.1f messages, %.1f transactions, %.1f entries listed\n",
                (during_migrations[0] - baseline[0]) / migrations,
                (during_migrations[1] - baseline[1]) / migrations,
                (during_migrations[2] - baseline[2]) / migrations);

    // The loss of a controller.
    log.clear();
    Time lost = cluster.now();
    cluster.crash(1, 1e6);
    cluster.run_for(60);
    Time elected = 0;
    Time last_reconciled = 0;
    for (const auto& line : log) {
        if (line.text.starts_with("event=leadership_acquired")) {
            elected = elected > 0 ? elected : line.at;
        } else if (line.text.starts_with("event=shard_reconciled") ||
                   line.text.starts_with("event=partition_reconciled")) {
            last_reconciled = line.at;
        }
    }
    std::map<int, double> load; // number of machines by responsible controller
    for (const auto& name : cluster.machines_up()) {
        load[cluster.controller_of(name)] += 1;
    }
    double max_load = 0;
    double total = 0;
    for (const auto& [controller, machine_count] : load) {
        max_load = std::max(max_load, machine_count);
        total += machine_count;
    }
    std::printf("loss of one of five: claimed after %.1f s, all machines give slots %.2f s later; "
                "largest load of a survivor over the mean %.2f\n",
                elected - lost, last_reconciled - elected, max_load / (total / 4));
    if (!cluster.broken.empty()) {
        std::printf("broken: %s\n", cluster.broken.front().c_str());
        return 1;
    }
    return 0;
}
