// Processes that end and are back at once. See "What outlives an end" in docs/design.md.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "core/parts.h"
#include "seeds.h"
#include "world.h"

namespace orchidlanding::test {
namespace {

// A node that is back before anybody has noticed owns as many machines as before, and asks all of
// them at once. Those that wait their turn in its own process were once taken for silent, released,
// and lost what they ran: 50 healthy machines at each restart of a fleet of 2,000.
TEST(RestartTakeover, ReleasesNoMachineThatHasOnlyWaitedToBeAsked) {
    World w({.nodes = 2, .run_s = 60, .limits = 40, .capacity = 100, .orders_at_once = 4});
    w.run_for(3);
    w.submit(0, w.job("req-1", 380, 2));
    w.run_for(30);
    ASSERT_GE(w.machines_up().size(), 90u);
    std::size_t before = w.logged("event=release");
    w.crash(0, 0.2);
    w.run_for(20);
    EXPECT_GE(w.logged("event=part_claimed"), 3u);
    EXPECT_GE(w.logged("event=part_settled"), 3u);
    EXPECT_EQ(w.logged("event=release"), before);
    w.run_for(200);
    EXPECT_TRUE(w.all_done("req-1"));
    for (std::uint32_t i = 0; i < 380; ++i) {
        EXPECT_EQ(w.starts({"req-1", i}), 1) << i;
    }
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

// The owners of the machines fence the slots that the process before had got. The new one places no
// older task until these have shown, which by the workers' own reports took two report times.
TEST(RestartTakeover, IsSettledBeforeTheWorkersReportByThemselves) {
    World w({.nodes = 3, .run_s = 60, .limits = 20, .capacity = 40});
    w.run_for(3);
    w.submit(0, w.job("req-1", 300, 2));
    w.run_for(5);
    int node = w.owner(part_of_team(w.facts(0), "red"));
    // Right after it has got slots that it has not used.
    bool granted = false;
    w.after_output = [&](int, const Call*, const Answer* a) -> std::optional<double> {
        const auto* reply = a ? std::get_if<ExchangeReply>(&a->body) : nullptr;
        if (!granted && reply && !reply->grants.empty()) {
            granted = true;
            w.at(w.now(), [&] { w.crash(node, 0.1); });
        }
        return {};
    };
    std::size_t settled = w.logged("event=part_settled");
    for (int k = 0; k < 40 && !granted; ++k) {
        w.run_for(0.5);
    }
    ASSERT_TRUE(granted);
    w.run_for(w.facts(0).report_s / 2);
    EXPECT_GT(w.logged("event=part_settled"), settled);
    w.run_for(300);
    EXPECT_TRUE(w.all_done("req-1"));
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

// A report of a machine that was released long ago, held up on the way. The process that released
// it knew it for dead; the one that has just started believed it, took the replica for running
// there and its true place for foreign, and started it a second time when the dead machine did not
// answer.
TEST(RestartLateMessages, AReportOfAReleasedMachineMovesNoTask) {
    World w({.nodes = 2, .limits = 20, .capacity = 20});
    w.run_for(3);
    JobSpec s = w.job("svc-1", 1);
    s.kind = JobKind::service;
    w.submit(0, s);
    w.run_for(25);
    auto on = w.machines_of({"svc-1", 0});
    ASSERT_EQ(on.size(), 1u);
    Report before = w.last_report(*on.begin());
    w.take_machine(*on.begin(), 12);
    w.run_for(40);
    ASSERT_EQ(w.machines_of({"svc-1", 0}).size(), 1u);
    ASSERT_EQ(w.starts({"svc-1", 0}), 2);
    for (int n = 0; n < 2; ++n) {
        w.crash(n, 0.1);
    }
    w.run_for(0.13); // the parts are claimed, what is durable is not read yet
    for (int k = 0; k < 20; ++k) {
        for (int n = 0; n < 2; ++n) {
            w.deliver_late(n, before);
        }
        w.run_for(0.02);
    }
    w.run_for(60);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
    EXPECT_EQ(w.machines_of({"svc-1", 0}).size(), 1u);
    EXPECT_EQ(w.starts({"svc-1", 0}), 2);
}

// ---- What it costs users ----

// The types of machines are the state service's to tell when the cloud is slow.
TEST(RestartUsers, AreServedBeforeTheCloudHasAnswered) {
    World w({.nodes = 3});
    w.run_for(5);
    w.intercept = [](int, const CallBody& call) { return std::holds_alternative<Catalog>(call); };
    w.crash(1, 0.1);
    w.run_for(0.4);
    EXPECT_EQ(w.probe(1), 200);
    RequestId request = w.submit(1, w.job("req-1", 4));
    w.run_for(0.2);
    EXPECT_EQ(w.answers.at(request).status, 201);
    EXPECT_EQ(w.owner(1), 1);
    // The cloud may have other types by now, so nothing is refused for good for what is known.
    request = w.submit(1, w.job("req-2", 1, 9));
    w.run_for(0.2);
    EXPECT_EQ(w.answers.at(request).status, 503);
    w.intercept = nullptr;
    w.run_for(60);
    EXPECT_TRUE(w.all_done("req-1"));
    request = w.submit(1, w.job("req-2", 1, 9));
    w.run_for(0.2);
    EXPECT_EQ(w.answers.at(request).status, 422);
}

// A process that ends again and again, each time as soon as it has begun.
TEST(RestartUsers, OfOtherControllersNoticeNothingOfOneThatEndsEverySecond) {
    World w({.nodes = 5, .run_s = 10, .limits = 12, .capacity = 64});
    w.run_for(3);
    JobSpec other = w.job("req-1", 600, 2);
    other.team = "blue";
    int looping = w.owner(part_of_team(w.facts(0), "red"));
    ASSERT_NE(looping, w.owner(part_of_team(w.facts(0), "blue")));
    w.submit((looping + 1) % 5, other);
    w.run_for(15);
    std::size_t catalogs = w.calls_of("catalog");
    std::size_t claims = w.logged("event=part_claimed");
    std::vector<std::string> taken;
    for (int k = 0; k < 60; ++k) {
        w.crash(looping, 0.05);
        w.run_for(0.9);
        RequestId request = w.submit(looping, w.job("req-" + std::to_string(10 + k), 1));
        w.run_for(0.1);
        if (w.answers.contains(request) && w.answers.at(request).status == 201) {
            taken.push_back("req-" + std::to_string(10 + k));
        }
        EXPECT_EQ(w.owner(looping), looping) << k;
    }
    EXPECT_EQ(taken.size(), 60u);
    EXPECT_TRUE(w.all_done("req-1"));
    EXPECT_LE(w.calls_of("catalog"), catalogs + 1);
    EXPECT_LE(w.logged("event=part_claimed"), claims + 60); // its own, and no part goes round
    w.run_for(120);
    for (const auto& id : taken) {
        EXPECT_TRUE(w.all_done(id)) << id;
    }
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

// A start of all in an outage: there is no node that could do better, and one that says it is not
// ready is let wait by the load balancer long after the outage.
TEST(RestartUsers, FindAllNodesReadyAfterAStartInAnOutageThatIsEveryones) {
    World w({.nodes = 3});
    w.run_for(5);
    w.state_down(true);
    for (int n = 0; n < 3; ++n) {
        w.crash(n, 0.3);
    }
    w.run_for(1.2);
    for (int n = 0; n < 3; ++n) {
        EXPECT_EQ(w.probe(n), 200) << n;
        RequestId request = w.submit(n, w.job("req-1", 4));
        w.run_for(0.2);
        EXPECT_EQ(w.answers.at(request).status, 503);
        EXPECT_GT(w.answers.at(request).retry_after_s, 0);
    }
    w.state_down(false);
    w.run_for(1);
    RequestId request = w.submit(2, w.job("req-1", 4));
    w.run_for(0.2);
    EXPECT_EQ(w.answers.at(request).status, 201);
}

TEST(RestartUsers, AreKeptFromANodeThatStartsAndIsAloneRefused) {
    World w({.nodes = 3});
    w.run_for(5);
    w.state_refuses(1, true);
    w.crash(1, 0.3);
    for (int k = 0; k < 20; ++k) {
        w.run_for(0.5);
        EXPECT_EQ(w.probe(1), 503) << k;
        EXPECT_EQ(w.probe(0), 200) << k;
    }
}

// ---- An end after each single output ----

struct Output {
    const Call* call = nullptr;
    const Answer* answer = nullptr;

    template <class T> const T* asks() const {
        return call ? std::get_if<T>(&call->body) : nullptr;
    }
    template <class T> const T* says() const {
        return answer ? std::get_if<T>(&answer->body) : nullptr;
    }
    // A transaction with a change of this kind.
    bool changes(const std::function<bool(const Change&)>& is) const {
        const Txn* txn = asks<Txn>();
        return txn && std::any_of(txn->then.begin(), txn->then.end(), is);
    }
    template <class R> bool puts(const std::string& prefix) const {
        return changes([&](const Change& c) {
            return c.put && std::holds_alternative<R>(*c.put) && c.key.starts_with(prefix);
        });
    }
    bool ends_job(Outcome outcome) const {
        return changes([&](const Change& c) {
            const auto* job = c.put ? std::get_if<JobRecord>(&*c.put) : nullptr;
            return job && job->outcome == outcome;
        });
    }
    bool drops(const std::string& prefix, std::size_t length = 0) const {
        return changes([&](const Change& c) {
            return !c.put && c.key.starts_with(prefix) && (!length || c.key.size() == length);
        });
    }
    bool wants(bool gang) const {
        const auto* peer = asks<PeerCall>();
        return peer && std::any_of(peer->exchange.wants.begin(), peer->exchange.wants.end(),
                                   [&](const Want& w) { return gang == (w.attempt != 0); });
    }
    bool hands_over() const {
        const auto* reply = says<ExchangeReply>();
        return reply && !reply->grants.empty();
    }
    // A command to a worker, directly or in the answer to its report.
    bool commands(Op op, const std::string& job = "", double grace_s = 0) const {
        const auto* orders = asks<Orders>();
        const auto* report = says<ReportAnswer>();
        auto is = [&](const Command& c) {
            return c.op == op && c.task.job.starts_with(job) && c.grace_s >= grace_s;
        };
        return (orders && std::any_of(orders->commands.begin(), orders->commands.end(), is)) ||
               (report && std::any_of(report->commands.begin(), report->commands.end(), is));
    }
};

struct Point {
    const char* name;
    std::function<bool(const Output&)> is;
};

const std::vector<Point>& points() {
    static const std::vector<Point> all{
        {"lease_asked", [](const Output& o) { return o.asks<GrantLease>() != nullptr; }},
        {"lease_renewed", [](const Output& o) { return o.asks<Renew>() != nullptr; }},
        {"part_claimed",
         [](const Output& o) {
             return o.puts<PartRecord>("part/") &&
                    o.changes([](const Change& c) { return c.key.size() == 6; });
         }},
        {"jobs_read",
         [](const Output& o) {
             const auto* range = o.asks<Range>();
             return range && range->prefix == kJobs;
         }},
        {"roster_read",
         [](const Output& o) {
             const auto* range = o.asks<Range>();
             return range && range->prefix.starts_with("machine/");
         }},
        {"home_asked",
         [](const Output& o) {
             return o.changes([](const Change& c) { return c.put && c.key.ends_with("/home"); });
         }},
        {"part_handed_home", [](const Output& o) { return o.drops("part/", 6); }},
        {"share_given", [](const Output& o) { return o.puts<ShareRecord>("part/"); }},
        {"share_told",
         [](const Output& o) {
             const auto* peer = o.asks<PeerCall>();
             return peer && !peer->exchange.given.empty();
         }},
        {"machine_asked",
         [](const Output& o) {
             const auto* orders = o.asks<Orders>();
             return orders && orders->commands.empty();
         }},
        {"slots_wanted", [](const Output& o) { return o.wants(false); }},
        {"slots_handed_over", [](const Output& o) { return o.hands_over(); }},
        {"task_started", [](const Output& o) { return o.commands(Op::start, "req-"); }},
        {"task_cleared", [](const Output& o) { return o.commands(Op::clear); }},
        {"gang_wanted", [](const Output& o) { return o.wants(true); }},
        {"gang_started", [](const Output& o) { return o.commands(Op::start, "gang-"); }},
        {"gang_stopped", [](const Output& o) { return o.commands(Op::stop, "gang-", 0.1); }},
        {"promise_asked", [](const Output& o) { return o.asks<PromiseCall>() != nullptr; }},
        {"promise_given",
         [](const Output& o) {
             const auto* reply = o.says<PromiseReply>();
             return reply && reply->given;
         }},
        {"job_written", [](const Output& o) { return o.ends_job(Outcome::none); }},
        {"job_cancelled", [](const Output& o) { return o.ends_job(Outcome::cancelled); }},
        {"task_stopped", [](const Output& o) { return o.commands(Op::stop, "req-"); }},
        {"machine_entered", [](const Output& o) { return o.puts<MachineRecord>("machine/"); }},
        {"machine_dropped", [](const Output& o) { return o.drops("machine/"); }},
        {"machines_rented", [](const Output& o) { return o.asks<Rent>() != nullptr; }},
        {"machines_released", [](const Output& o) { return o.asks<Release>() != nullptr; }},
        {"progress_saved", [](const Output& o) { return o.puts<ProgressRecord>("done/"); }},
        {"job_finished", [](const Output& o) { return o.ends_job(Outcome::done); }},
    };
    return all;
}

enum class Who { any, same, in_turn, all };

// From then on, the node that does it ends right after it, so many times.
struct Strike {
    Time from = 0;
    double back_s = 0;
    int times = 1;
    Who who = Who::any;
};

constexpr int kNodes = 5;
constexpr Time kOutage = 62;  // of the state service, for longer than an owner's lease
constexpr Time kRefusal = 95; // of calls between nodes

void strike(World& w, const Point& point, const Strike& s, int& struck) {
    int last = -1;
    w.after_output = [&w, &point, s, &struck,
                      last](int node, const Call* call,
                            const Answer* answer) mutable -> std::optional<double> {
        bool turn = s.who == Who::same      ? last < 0 || node == last
                    : s.who == Who::in_turn ? node != last
                                            : true;
        if (struck >= s.times || w.now() < s.from || !turn || !point.is({call, answer})) {
            return {};
        }
        ++struck;
        last = node;
        for (int other = 0; s.who == Who::all && other < kNodes; ++other) {
            if (other != node) {
                w.at(w.now(), [&w, other, s] { w.crash(other, s.back_s); });
            }
        }
        return s.back_s;
    };
}

// Jobs of each kind, a controller lost and back, a share that moves, a cancellation, an outage,
// peers that refuse and a machine that is taken, in 150 s.
void day(World& w) {
    auto job = [&](const std::string& id, std::uint32_t tasks, const std::string& team) {
        JobSpec s = w.job(id, tasks, 2);
        s.team = team;
        return s;
    };
    auto gang = [&](const std::string& id) {
        JobSpec s = job(id, 12, "red");
        s.kind = JobKind::gang;
        s.job_class = "gang";
        s.checkpoint_s = 3;
        s.save_s = 1;
        return s;
    };
    std::vector<std::string> services;
    auto submit = [&](Time at, int node, const JobSpec& s) {
        // As users do, until it is taken.
        auto again = std::make_shared<std::function<void()>>();
        std::weak_ptr<std::function<void()>> weak = again;
        auto asked = std::make_shared<RequestId>(0);
        *again = [&w, s, node, weak, asked]() mutable {
            auto answer = w.answers.find(*asked);
            if (answer != w.answers.end() && answer->second.status <= 201) {
                return;
            }
            *asked = w.submit(node++ % kNodes, s);
            w.at(w.now() + 2, [self = weak.lock()] { (*self)(); });
        };
        w.at(at, [again] { (*again)(); });
    };
    submit(3, 0, job("req-base", 600, "blue"));
    for (int k = 0; k < 6; ++k) {
        submit(6 + 18 * k, k % kNodes,
               job("req-" + std::to_string(k), 120, k % 2 ? "red" : "blue"));
        submit(14 + 18 * k, k % kNodes, gang("gang-" + std::to_string(k)));
    }
    JobSpec service = job("svc-1", 4, "red");
    service.kind = JobKind::service;
    service.job_class = "svc";
    submit(8, 1, service);
    submit(40, 2, job("req-cancelled", 40, "red"));
    auto cancel = [&w](Time from, const std::string& id) {
        for (int k = 0; k < 60; ++k) { // longer than anything goes wrong
            w.at(from + 2 * k, [&w, id, k] { w.cancel(k % kNodes, id); });
        }
    };
    cancel(48, "req-cancelled");
    cancel(190, "svc-1");
    w.at(22, [&w] { w.crash(2, 16); });
    for (Time t : {28, 44, 58, 104, 112}) {
        w.at(t, [&w] {
            for (int part = 0; part < kNodes; ++part) {
                auto shares = w.shares(part);
                if (!shares.empty() && w.give(part, shares.front(), (part + 1) % kNodes)) {
                    return;
                }
            }
        });
    }
    w.at(kOutage, [&w] { w.state_down(true); });
    w.at(kOutage + 16, [&w] { w.state_down(false); });
    auto refuse = [&w](bool cut) {
        for (int a = 0; a < kNodes; ++a) {
            for (int b = 0; b <= a; ++b) {
                w.cut_peers(a, b, cut);
            }
        }
    };
    w.at(kRefusal, [refuse] { refuse(true); });
    w.at(kRefusal + 12, [refuse] { refuse(false); });
    for (Time t : {50, 88, 116}) { // one that a gang runs on
        w.at(t, [&w] {
            for (int k = 5; k >= 0; --k) {
                auto on = w.machines_of({"gang-" + std::to_string(k), 0});
                if (!on.empty()) {
                    w.take_machine(*on.begin(), 8);
                    return;
                }
            }
        });
    }
    w.run_until(150);
}

WorldOptions sixty_machines(std::uint64_t seed) {
    return {.seed = seed, .nodes = kNodes, .run_s = 10, .limits = 12, .capacity = 64};
}

void judge(World& w, Time by) {
    auto over = [&] {
        auto outcomes = w.outcomes();
        return std::all_of(outcomes.begin(), outcomes.end(),
                           [](const auto& o) { return o.second != Outcome::none; });
    };
    while (w.now() < by && !over()) {
        w.run_for(5);
    }
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
    EXPECT_EQ(w.served_under(0.99), std::vector<std::string>{});
    for (const auto& [id, outcome] : w.outcomes()) {
        EXPECT_NE(outcome, Outcome::none) << id << w.describe(id);
    }
}

// ORCHIDLANDING_SEEDS asks for all strikes and so many more seeds; without it, each point has a
// part of them.
class RestartPoints : public testing::TestWithParam<std::size_t> {};

TEST_P(RestartPoints, AreSurvivedByEveryJob) {
    const Point& point = points()[GetParam()];
    const std::vector<Strike> strikes{{0, 0},
                                      {0, 0.2, 10, Who::same},
                                      {10, 0.02},
                                      {30, 0.2},
                                      {30, 1, 2},
                                      {30, 6},
                                      {30, 0.02, 10, Who::same},
                                      {30, 0.2, 2, Who::in_turn},
                                      {30, 0.2, 2, Who::all},
                                      {kOutage + 1, 0.2, 2, Who::same},
                                      {kOutage + 1, 0.02, 3},
                                      {kRefusal + 1, 0.2, 2, Who::in_turn}};
    int struck_in_all = 0;
    for (std::size_t k = 0; k < strikes.size(); ++k) {
        if (seeds_asked() == 0 && k % 3 != GetParam() % 3) {
            continue;
        }
        const Strike& s = strikes[k];
        SCOPED_TRACE(std::string(point.name) + " from " + std::to_string(s.from) + " back after " +
                     std::to_string(s.back_s) + " times " + std::to_string(s.times) + " who " +
                     std::to_string(static_cast<int>(s.who)));
        World w(sixty_machines(GetParam() + k));
        int struck = 0;
        strike(w, point, s, struck);
        day(w);
        w.after_output = nullptr;
        judge(w, 700);
        struck_in_all += struck;
        if (HasFailure()) {
            return;
        }
    }
    EXPECT_GT(struck_in_all, 0) << point.name;
}
INSTANTIATE_TEST_SUITE_P(All, RestartPoints, testing::Range(std::size_t{0}, points().size()),
                         [](const auto& at) { return points()[at.param].name; });

// Strikes at random all through the day, crossed with other faults: none, messages lost and late,
// outages and refusals, all of them.
void play(std::uint64_t seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    WorldOptions options = sixty_machines(seed);
    options.drop = options.late = seed % 4 == 1 || seed % 4 == 3 ? 0.02 : 0;
    World w(options);
    std::mt19937_64 random(seed);
    auto any = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    constexpr double kBack[] = {0, 0.02, 0.2, 1, 6};
    int struck = 0;
    int in_all = 0;
    for (Time t = 5; t < 140; t += 2 + static_cast<double>(any(5))) {
        Strike s{t, kBack[any(5)], 1 + static_cast<int>(any(any(3) ? 2 : 10)),
                 static_cast<Who>(any(4))};
        const Point& point = points()[any(points().size())];
        w.at(t, [&w, &point, s, &struck, &in_all] {
            in_all += struck;
            struck = 0;
            strike(w, point, s, struck);
        });
    }
    for (Time t = 10; seed % 4 >= 2 && t < 140; t += 5 + static_cast<double>(any(10))) {
        int a = static_cast<int>(any(kNodes));
        int b = static_cast<int>(any(kNodes));
        std::size_t fault = any(5);
        double for_s = 1 + static_cast<double>(any(20));
        auto set = [&w, a, b, fault](bool on) {
            switch (fault) {
            case 0: w.state_refuses(a, on); break;
            case 1: w.cut_workers(a, on); break;
            case 2: w.cut_peers(a, b, on); break;
            case 3: w.state_down(on); break;
            default: w.cloud_down(on);
            }
        };
        w.at(t, [set] { set(true); });
        w.at(t + for_s, [set] { set(false); });
        if (any(2)) {
            w.at(t + 1, [&w, a, for_s] { w.freeze(a, for_s); });
        }
    }
    day(w);
    w.run_until(170);
    w.after_output = nullptr;
    EXPECT_GT(in_all, 1);
    judge(w, 900);
}

class RestartRandom : public testing::TestWithParam<int> {};
TEST_P(RestartRandom, RulesHoldAndEverybodyIsServed) {
    play(static_cast<std::uint64_t>(GetParam()));
}
INSTANTIATE_TEST_SUITE_P(Seeds, RestartRandom, testing::Range(1, 13));

TEST(RestartSeeds, AsManyAsAreAskedFor) { play_seeds_asked(13, play); }

} // namespace
} // namespace orchidlanding::test
