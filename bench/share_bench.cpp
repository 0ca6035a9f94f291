// Moves of shares and the loss of a controller at the size of a fleet, on the tests' cluster with
// its fake clock: how long, how many messages, state changes and listed entries, and how long
// machines give no slots. Simulated machines; delays of 1 to 20 ms a message.
//
//   share_bench [machines]
#include <cstdio>
#include <cstdlib>

#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

using namespace scheduler;
using namespace scheduler::test;

namespace {
struct Line {
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

std::string share_in(const std::string& text) {
    auto at = text.find("shard=") + 6;
    return text.substr(at, text.find(' ', at) - at);
}

std::size_t messages(const SimulatedCluster& cluster) {
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
    options.state_rps = 350; // as at the larger of the two fleets
    options.state_write_rps = 150;
    SimulatedCluster cluster(options);
    std::vector<Line> log;
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

    // Moves: against the same time without.
    auto count = [&](double seconds) {
        std::size_t m = messages(cluster);
        std::size_t t = cluster.request_count("txn");
        double l = cluster.counts().listed;
        cluster.run_for(seconds);
        return std::array<double, 3>{static_cast<double>(messages(cluster) - m),
                                     static_cast<double>(cluster.request_count("txn") - t),
                                     cluster.counts().listed - l};
    };
    auto calm = count(20);
    log.clear();
    int moves = 0;
    for (int k = 0; k < 5; ++k) {
        auto shards = cluster.held_shards(k);
        moves += !shards.empty() && cluster.migrate_shard(k, shards[0], (k + 1) % 5);
    }
    auto moved = count(20);
    std::map<std::string, Time> passing;
    std::vector<double> gave;
    std::vector<double> pause;
    for (const auto& line : log) {
        if (line.text.starts_with("event=shard_migration_started")) {
            passing[share_in(line.text)] = line.at;
        } else if (line.text.starts_with("event=shard_migrated")) {
            gave.push_back(line.at - passing[share_in(line.text)]);
        } else if (line.text.starts_with("event=shard_reconciled")) {
            pause.push_back(line.at - passing[share_in(line.text)]);
        }
    }
    std::printf("moves %d: until given, median %.3f s; until its machines give slots again, median "
                "%.3f s, most %.3f s\n",
                moves, median(gave), median(pause),
                pause.empty() ? 0 : *std::max_element(pause.begin(), pause.end()));
    std::printf("a move: %.1f messages, %.1f transactions, %.1f entries listed\n",
                (moved[0] - calm[0]) / moves, (moved[1] - calm[1]) / moves,
                (moved[2] - calm[2]) / moves);

    // The loss of a controller.
    log.clear();
    Time lost = cluster.now();
    cluster.crash(1, 1e6);
    cluster.run_for(60);
    Time claimed = 0;
    Time last = 0;
    for (const auto& line : log) {
        if (line.text.starts_with("event=leadership_acquired")) {
            claimed = claimed > 0 ? claimed : line.at;
        } else if (line.text.starts_with("event=shard_reconciled") ||
                   line.text.starts_with("event=partition_reconciled")) {
            last = line.at;
        }
    }
    std::map<int, double> load; // machines, by the node that answers for them
    for (const auto& name : cluster.machines_up()) {
        load[cluster.controller_of(name)] += 1;
    }
    double most = 0;
    double all = 0;
    for (const auto& [node, n] : load) {
        most = std::max(most, n);
        all += n;
    }
    std::printf("loss of one of five: claimed after %.1f s, all machines give slots %.2f s later; "
                "largest load of a survivor over the mean %.2f\n",
                claimed - lost, last - claimed, most / (all / 4));
    if (!cluster.broken.empty()) {
        std::printf("broken: %s\n", cluster.broken.front().c_str());
        return 1;
    }
    return 0;
}
