#include "cases.h"

namespace review {

namespace {

void sleep_s(double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); }

// Three controllers in three zones, with the settings of the deployment kmwsb-jalghar. Machines
// boot faster than its own, so that a case fits into its time.
Options three_rooms() {
    Options options;
    options.node_zones = {"saltlake-room", "garia-room", "howrah-room"};
    // The controllers lead the teams in the order of their guarantees: n-0 archive-desk, n-1
    // tender-cell, n-2 the others.
    options.teams = {{"tender-cell", 192, 272},
                     {"vigilance-cell", 160, 272},
                     {"archive-desk", 272, 648},
                     {"training-wing", 160, 376}};
    return options;
}

bool start_all(World& world) {
    for (int node = 0; node < world.nodes(); ++node) {
        world.start_node(node);
    }
    return world.wait_for(15, [&] {
        for (int node = 0; node < world.nodes(); ++node) {
            if (!world.ready(node)) {
                return false;
            }
        }
        return true;
    });
}

bool accepted(const World::Answer& answer) { return answer.status == 200 || answer.status == 201; }

// A job of a team at its limit is cancelled while its machines cannot be reached, and the team's
// leader restarts.
int quota_after_restart(World& world, bool trouble) {
    Record& record = world.record();
    JobSpec filler{.id = "req-000001",
                   .team = "archive-desk",
                   .house = "saltlake-room",
                   .petals = 1,
                   .cpus = 2};
    filler.run_s = filler.bloom_s = 300;
    JobSpec first{
        .id = "req-000002", .team = "tender-cell", .house = "garia-room", .petals = 16, .cpus = 4};
    first.run_s = first.bloom_s = 300;
    JobSpec second{.id = "req-000003",
                   .team = "tender-cell",
                   .house = "saltlake-room",
                   .petals = 6,
                   .cpus = 4};
    second.run_s = second.bloom_s = 10;
    if (!start_all(world) || !accepted(world.submit_until(filler, 20)) ||
        !accepted(world.submit_until(first, 20)) || !world.wait_for(50, [&] {
            return world.on_machines(first.id) == 16 && world.on_machines(filler.id) == 1 &&
                   world.free_cpus("saltlake-room") >= 24;
        })) {
        return 2;
    }
    sleep_s(4);
    record.line("case: the team is at its limit:" + world.where(first.id));
    std::vector<std::string> cut;
    if (trouble) {
        for (const auto& name : world.machines("garia-room")) {
            if (world.where(first.id).find(name) != std::string::npos) {
                world.cut(name, true);
                cut.push_back(name);
            }
        }
    }
    double cut_at = now_s();
    sleep_s(0.2);
    if (world.cancel_until(first.id, 10, 0).stage != "aborted") {
        return 2;
    }
    if (trouble) {
        world.kill_node(1);
        sleep_s(6);
        world.start_node(1);
        world.wait_for(10, [&] { return world.ready(1); });
    }
    if (!accepted(world.submit_until(second, 20))) {
        return 2;
    }
    while (now_s() < cut_at + 20) {
        sleep_s(0.5);
        record.line("judge: on machines, cancelled:" + world.where(first.id) +
                    "; new:" + world.where(second.id));
    }
    for (const auto& name : cut) {
        world.cut(name, false);
    }
    bool done = world.wait_for(30, [&] { return world.poll(2, second.id).stage == "done"; });
    for (const auto& rule : world.broken()) {
        if (rule.starts_with("quota")) {
            return 1;
        }
    }
    return done ? 0 : 2;
}

// The machines' leader restarts while they run several hundred tasks of another leader's job.
int done_after_restart(World& world, bool trouble) {
    JobSpec job{.id = "req-000007",
                .team = "archive-desk",
                .house = "garia-room",
                .petals = 320,
                .cpus = 2,
                .ram_gb = 7.5};
    job.image = "registry.board.example/archive-desk/screening/thesis-compare-with-earlier-filings"
                "@sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
    job.run_s = job.bloom_s = 30;
    if (!start_all(world) || !accepted(world.submit_until(job, 20)) ||
        !world.wait_for(30, [&] { return world.on_machines(job.id) == 320; })) {
        return 2;
    }
    world.record().line("case: running:" + world.where(job.id));
    if (trouble) {
        world.kill_node(1);
        sleep_s(6);
        world.start_node(1);
    }
    if (!world.wait_for(40, [&] { return world.completed(job.id) == 320; })) {
        return 2;
    }
    // The user expects `done` from 3 s after this; a much longer time is waited.
    world.record().line("case: every task has completed");
    while (now_s() < 104) {
        sleep_s(3);
        if (world.poll(0, job.id).stage == "done") {
            return 0;
        }
    }
    return 1;
}

// A job that may run on one of the two machine types only.
int runs_on_its_type(World& world, bool trouble) {
    JobSpec job{.id = "req-000011", .team = "drainage-survey", .petals = 8, .cpus = 6, .cards = 1};
    job.ram_gb = 36;
    job.run_s = job.bloom_s = 20;
    job.benches = {trouble ? "nala-gpu-16" : "ganga-gpu-96"};
    if (!start_all(world) || !accepted(world.submit_until(job, 20))) {
        return 2;
    }
    while (now_s() < 104) {
        sleep_s(5);
        if (world.poll(0, job.id).stage == "done") {
            return 0;
        }
    }
    for (const auto& type : world.options().types) {
        world.record().line("case: of " + type.name + " the cloud had " +
                            std::to_string(type.capacity) + ", rented were " +
                            std::to_string(world.rented(type.name)));
    }
    return 1;
}

} // namespace

std::map<std::string, Case> cases() {
    std::map<std::string, Case> all;
    Options small = three_rooms(); // two machines bring a team to its limit
    small.teams = {{"archive-desk", 192, 272}, {"tender-cell", 60, 64}, {"training-wing", 16, 64}};
    all["quota_after_restart"] = {small, quota_after_restart};
    all["done_after_restart"] = {three_rooms(), done_after_restart};
    Options flowsight; // the deployment kmwsb-flowsight
    flowsight.node_zones = {"dhapa-room", "tallah-room", "bantala-room"};
    flowsight.teams = {{"monsoon-desk", 0, 0, 1000, 2500},
                       {"pumping-cell", 0, 0, 1200, 4000},
                       {"drainage-survey", 0, 0, 700, 2500},
                       {"ward-liaison", 0, 0, 800, 3000}};
    flowsight.limits = {200, 60, 8, 16, 3, 8};
    flowsight.report_s = 8;
    flowsight.lease_s = 38;
    flowsight.cancel_s = 63;
    flowsight.sockets = 3000;
    // Machines are up within two seconds here.
    flowsight.types = {{"nala-gpu-16", 16, 2, 96, 120, 1, 6.66, 2.59, 35, 1.5, 900},
                       {"ganga-gpu-96", 96, 8, 768, 80, 0.5, 25.84, 10.41, 25, 1.5, 119}};
    all["runs_on_its_type"] = {flowsight, runs_on_its_type};
    return all;
}

} // namespace review
