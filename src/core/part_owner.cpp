#include "core/part_owner.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

#include "core/parts.h"

namespace orchidlanding {

namespace {
constexpr char kJobs[] = "job/";
constexpr char kProgress[] = "done/";
// Delays of this process that a lease bound allows for, as a part of the lease: a safety bound.
constexpr double kMargin = 1.0 / 16;
// A machine that lives answers a question, or comes by itself, within this many report times.
constexpr double kTakeoverReports = 1.5;
// Direct questions to a machine after a takeover: one for the session, one for the answer, one
// more.
constexpr int kProbes = 3;
// Work for more than this many times the time there is cannot be done by then, though estimates err
// and a team may get more CPUs than it has now.
constexpr double kHopeless = 1.5;
constexpr double kStuckBoots = 1.5;
constexpr double kArrivalLeases = 3; // how long arrivals are remembered
constexpr double kAhead = 1.5;
constexpr double kProgressShare = 0.3;     // of the changes that the state service takes
constexpr int kBuyer = 0;                  // the part whose owner rents for all
constexpr std::size_t kMostCommands = 200; // keeps a response well under the 64 KiB allowed

std::uint32_t chunk_tasks(const Facts& facts) {
    // Four tasks a character of hex, with a quarter of the value left for the rest.
    return static_cast<std::uint32_t>(std::max(64.0, facts.value_kb * 1024 * 0.75 * 4));
}

// At most half of a job's tasks, rounded up, may be in one zone if it says so.
bool may_spread(const JobSpec& s, std::uint32_t in_zone) {
    return !s.spread || in_zone <= (s.tasks + 1) / 2;
}

std::uint32_t planned(const std::map<std::string, std::uint32_t>* plan, const std::string& where) {
    auto it = plan ? plan->find(where) : decltype(plan->end()){};
    return plan && it != plan->end() ? it->second : 0;
}

// Run time left of the job's tasks. Those that run are half done on the whole; replicas run for
// ever.
double left_s(const Job& job) {
    double tasks = static_cast<double>(job.waiting.size()) + 0.5 * job.placed;
    return job.spec.kind == JobKind::service ? 0 : tasks * job.spec.estimate_s;
}

std::string progress_key(const std::string& job, std::uint32_t chunk) {
    return kProgress + job + "/" + std::to_string(chunk);
}
} // namespace

PartOwner::PartOwner(Time now, int part, const Facts& facts, const Policy& policy,
                     const Authority& authority, StateBudget& budget,
                     const std::vector<MachineType>& types)
    : part_(part), facts_(facts), policy_(policy), authority_(authority),
      calls_(budget, (authority.term(part) << 32) + 1), types_(types), term_(authority.term(part)),
      since_(now), jobs_(chunk_tasks(facts)), machines_(facts.lease_s, facts.lease_s * kMargin),
      teams_(facts.teams), gangs_(facts.gang_wait_s), fleet_(facts, policy, authority.term(part)) {
    for (int p = 0; p < static_cast<int>(facts_.parts.size()); ++p) {
        if (p != part_) {
            peers_[p].batch = policy_.steal_batch;
        }
    }
    for (const auto& t : types_) {
        by_fetch_.push_back(&t);
    }
    std::stable_sort(by_fetch_.begin(), by_fetch_.end(), [](const auto* a, const auto* b) {
        return a->fetch_gb_per_s > b->fetch_gb_per_s;
    });
    load(now, kJobs, "");
}

// The cheapest type that such a task fits on, by which its slots are counted.
const MachineType& PartOwner::usual_type(const JobSpec& s) const {
    auto cost = [&](const MachineType& t) {
        bool fits =
            s.allows_type(t.name) && s.cpus <= t.cpus && s.gpus <= t.gpus && s.ram_gb <= t.ram_gb;
        return std::pair(!fits, t.price * slots_needed(t, s.cpus, s.gpus, s.ram_gb) / t.slots());
    };
    return *std::min_element(types_.begin(), types_.end(),
                             [&](const auto& a, const auto& b) { return cost(a) < cost(b); });
}

const MachineType* PartOwner::type(const std::string& name) const {
    for (const auto& t : types_) {
        if (t.name == name) {
            return &t;
        }
    }
    return nullptr;
}

std::string PartOwner::roster_prefix() const { return "machine/" + std::to_string(part_) + "/"; }

std::string PartOwner::roster_key(const std::string& machine) const {
    return roster_prefix() + machine;
}

// ---- Reading what is durable ----

void PartOwner::load(Time now, std::string prefix, std::string after) {
    bool sent = calls_.send_state(
        now, StateBudget::Use::user, Range{prefix, after},
        [this, prefix, after](Time at, CallReply& reply) {
            if (reply.status != 200) {
                load_again_ = Range{prefix, after}; // at the next tick
                return;
            }
            if (prefix == kJobs && after.empty()) {
                watch_from_ = reply.revision; // of the first page: later changes come by watch
            }
            for (const auto& item : reply.items) {
                take_record(at, item);
            }
            if (reply.more && !reply.items.empty()) {
                load(at, prefix, reply.items.back().key);
            } else {
                loaded(at, prefix);
            }
        });
    if (!sent) {
        load_again_ = Range{prefix, after};
    }
}

void PartOwner::loaded(Time now, const std::string& prefix) {
    if (prefix == kJobs) {
        if (loaded_) {
            return; // read again because the watch had fallen behind
        }
        load(now, kProgress, "");
    } else if (prefix == kProgress) {
        load(now, roster_prefix(), "");
    } else {
        loaded_ = true;
        calls_.log(Level::info, "event=part_loaded part=" + std::to_string(part_) +
                                    " term=" + std::to_string(term_) +
                                    " jobs=" + std::to_string(jobs_.all().size()) +
                                    " machines=" + std::to_string(machines_.all().size()));
        // Machines that reported while we were reading listed tasks of jobs not known then.
        for (auto& [name, m] : machines_.all()) {
            adopt_listed(now, m);
            relist(m);
        }
        count_doubtful();
        std::vector<std::string> silent(unaccounted_.begin(), unaccounted_.end());
        for (const auto& name : silent) {
            probe(now, name, kProbes);
        }
        settle(now);
    }
}

void PartOwner::take_record(Time now, const KeyedRecord& item) {
    if (item.key.starts_with(kJobs)) {
        const auto* record = std::get_if<JobRecord>(&item.record);
        std::string id = item.key.substr(sizeof(kJobs) - 1);
        if (!record || (record->outcome != Outcome::done && !record->spec)) {
            calls_.log(Level::error, "event=unreadable_record key=" + item.key);
            return;
        }
        if (record->spec && part_of_team(facts_, record->spec->team) != part_) {
            if (record->outcome == Outcome::cancelled) {
                jobs_.final(id, Outcome::cancelled); // its guests here are to stop
            }
            return; // another part's
        }
        if (record->outcome == Outcome::none) {
            Job* added = jobs_.add(now, *record->spec, item.version);
            if (added && !loaded_) {
                added->in_doubt = true;
            } else if (added) {
                note_arrival(now, *record->spec);
                for (auto& [part, peer] : peers_) {
                    peer.next = 0; // it may have slots where we have none
                }
            }
            order_stale_ = true;
        } else if (record->outcome == Outcome::cancelled) {
            // Its tasks may still be on machines and count for their team until they are gone.
            if (!loaded_ && record->spec) {
                jobs_.add(now, *record->spec, item.version);
            }
            cancelled(now, id);
        } else {
            jobs_.final(id, Outcome::done);
        }
    } else if (item.key.starts_with(kProgress)) {
        std::string rest = item.key.substr(sizeof(kProgress) - 1);
        auto slash = rest.find('/');
        const auto* record = std::get_if<ProgressRecord>(&item.record);
        if (!record || slash == std::string::npos) {
            calls_.log(Level::error, "event=unreadable_record key=" + item.key);
            return;
        }
        jobs_.load_progress(rest.substr(0, slash),
                            static_cast<std::uint32_t>(std::atoi(rest.c_str() + slash + 1)),
                            record->done);
    } else if (item.key.starts_with(roster_prefix())) {
        const auto* record = std::get_if<MachineRecord>(&item.record);
        std::string name = item.key.substr(roster_prefix().size());
        const MachineType* t = record ? type(record->type) : nullptr;
        if (Machine* m = machines_.find(name)) { // it has reported while we were reading
            m->on_roster = true;
            if (!m->fenced) {
                unaccounted_.insert(name);
            }
            return;
        }
        if (!t) {
            calls_.log(Level::error, "event=unreadable_record key=" + item.key);
            unaccounted_.insert(name); // fenced off: its lease bound is waited out
            return;
        }
        Machine& m = machines_.add(now, name, *t, record->zone, record->spot);
        m.endpoint = record->endpoint;
        m.on_roster = true;
        m.last_report = now;
        unaccounted_.insert(name);
    }
}

void PartOwner::watch(Time now) {
    if (watching_ || !loaded_ || now < next_watch_) {
        return;
    }
    watching_ = calls_.send_state(now, StateBudget::Use::user,
                                  Watch{kJobs, watch_from_, facts_.lease_s / 3},
                                  [this](Time at, CallReply& reply) {
                                      watching_ = false;
                                      if (reply.status == 200) {
                                          watch_from_ = std::max(watch_from_, reply.revision);
                                          for (const auto& item : reply.items) {
                                              take_record(at, item);
                                          }
                                          place(at);
                                          press(at);
                                          send_orders(at);
                                          call_peers(at);
                                          watch(at);
                                      } else if (reply.status == 410) {
                                          load(at, kJobs, "");
                                          next_watch_ = at + 1;
                                      } else {
                                          next_watch_ = at + 0.5;
                                      }
                                  });
}

// No task of a job older than this owner is placed until every machine that may carry a task of an
// owner before us is accounted for: fenced and listed by its own report, gone by a release, or
// lapsed by the clock; and until the owner of every other part has accounted in the same way for
// the tasks of ours there.
void PartOwner::settle(Time now) {
    if (settled_ || !loaded_) {
        return;
    }
    if (now > since_ + machines_.lease_bound_s()) {
        unaccounted_.clear();
    }
    std::erase_if(unaccounted_, [&](const std::string& name) {
        Machine* m = machines_.find(name);
        return m && m->fenced;
    });
    accounted_ = unaccounted_.empty();
    bool inventoried = std::all_of(peers_.begin(), peers_.end(),
                                   [](const auto& p) { return p.second.inventoried; });
    if (accounted_ && inventoried) {
        settled_ = true;
        count_doubtful();
        calls_.log(Level::info, "event=part_settled part=" + std::to_string(part_) +
                                    " term=" + std::to_string(term_));
        std::vector<std::string> ids;
        for (const auto& [id, job] : jobs_.all()) {
            ids.push_back(id);
        }
        for (const auto& id : ids) {
            forget_if_over(id);
        }
        // An attempt of an owner before us goes on if it is whole, and is ended if not.
        for (const auto& id : ids) {
            const Job* job = jobs_.find(id);
            if (job && job->open() && job->placed > 0 && !job->waiting.empty()) {
                end_attempt(now, id, false);
            }
        }
        place(now);
        send_orders(now);
    }
}

// The tasks of older jobs that no listing has shown yet may run all the same.
void PartOwner::count_doubtful() {
    std::map<std::string, std::pair<double, double>> doubtful;
    for (const auto& [id, job] : jobs_.all()) {
        if (!settled_ && job->in_doubt) {
            auto n = static_cast<double>(job->waiting.size());
            auto& [cpus, gpus] = doubtful[job->spec.team];
            cpus += n * job->spec.cpus;
            gpus += n * job->spec.gpus;
        }
    }
    teams_.doubt(doubtful);
}

// After a takeover, the few machines that neither answer nor come to this owner while the rest do
// are most likely gone. A release makes that certain long before their leases run out, and until it
// is certain no older task can be placed.
void PartOwner::release_missing(Time now) {
    if (accounted_ || unaccounted_.size() * 2 > machines_.all().size()) {
        return;
    }
    bool all = now - since_ > kTakeoverReports * facts_.report_s;
    std::vector<std::string> missing;
    for (const auto& name : unaccounted_) {
        const Machine* m = machines_.find(name);
        if (m && !m->reported && !m->releasing && (all || m->unanswered >= kProbes - 1)) {
            missing.push_back(name);
        }
    }
    if (!missing.empty() && now >= next_release_missing_) {
        next_release_missing_ = now + facts_.report_s / 6;
        release(now, missing);
    }
}

// An empty direct command under our token: its answer is a listing, and nothing that carries an
// older token can come after it. The first answer may only tell the session.
void PartOwner::probe(Time, const std::string& name, int tries) {
    Machine* m = machines_.find(name);
    if (!m || m->fenced || m->releasing || m->endpoint.empty() || tries == 0) {
        return;
    }
    calls_.send(Orders{name, m->endpoint, make_token(term_, m->sequence), m->session, {}},
                [this, name, tries](Time at, CallReply& reply) {
                    Machine* machine = machines_.find(name);
                    if (!machine || !usable_now(at)) {
                        return;
                    }
                    machine->unanswered = reply.status == 0 ? machine->unanswered + 1 : 0;
                    if (reply.report && reply.report->machine == name) {
                        if (reply.report->session > machine->lapsed_session) {
                            machine->last_report = at;
                        }
                        apply(at, *machine, *reply.report, reply.call);
                    }
                    settle(at);
                    probe(at, name, tries - 1);
                });
}

// ---- Reports ----

void PartOwner::report(Time now, RequestId request, const Report& report) {
    const MachineType* t = type(report.type);
    if (!t) {
        calls_.log(Level::error, "event=unknown_type machine=" + report.machine);
        calls_.answer(request, 503, Plain{"unknown machine type"}, 1);
        return;
    }
    if (!usable_now(now)) {
        calls_.answer(request, 503, Plain{"not entitled"}, 1);
        return;
    }
    Machine* m = machines_.find(report.machine);
    if (!m) {
        if (fleet_.was_released(now, report.machine)) { // a message from the dead
            calls_.answer(request, 503, Plain{"released"}, 1);
            return;
        }
        m = &machines_.add(now, report.machine, *t, report.zone, report.spot);
        m->last_report = now;
        calls_.log(Level::info, "event=machine_adopted machine=" + report.machine);
    }
    if (m->releasing || report.session <= m->lapsed_session) {
        calls_.answer(request, 503, Plain{"session is over"}, 1);
        return;
    }
    bool current =
        report.session > m->session || (report.session == m->session && report.tick > m->tick);
    m->endpoint = report.endpoint;
    m->zone = report.zone;
    m->spot = report.spot;
    if (!m->reported) {
        m->idle_since = now;
    }
    m->last_report = now;
    if (!m->on_roster && !m->roster_write) {
        write_roster(now, *m);
    }
    apply(now, *m, report, 0);
    settle(now);
    place_on(now, *m);
    ReportAnswer answer{make_token(term_, m->sequence), {}};
    if (current) {
        upkeep(now, *m, answer.commands);
        if (m->fenced) {
            auto starts = machines_.send_in_response(*m);
            answer.commands.insert(answer.commands.end(), starts.begin(), starts.end());
        }
    }
    machines_.renewed(now, *m);
    calls_.answer(request, 200, std::move(answer));
    send_orders(now);
}

void PartOwner::apply(Time now, Machine& m, const Report& report, CallId orders) {
    ListingResult result = machines_.listing(now, m, report, term_, orders);
    for (const auto& g : result.gone) {
        gone(now, m.name, g);
    }
    if (result.fresh) {
        adopt_listed(now, m);
    }
    note_gangs(now, m);
    if (m.notice_s || m.errors >= policy_.sick_errors) {
        for (const auto& g : machines_.unqueue(m)) {
            gone(now, m.name, g);
        }
        if (!m.draining) {
            calls_.log(Level::info, "event=machine_drains machine=" + m.name +
                                        (m.notice_s ? " why=notice" : " why=errors"));
        }
        m.draining = true;
    }
    relist(m);
}

void PartOwner::gone(Time now, const std::string& machine, const ListingResult::Gone& g) {
    const Placement& p = g.placement;
    Machine* m = machines_.find(machine);
    if (m) {
        if (m->empty()) {
            m->idle_since = now;
        }
        if (g.why == ExitWhy::done) {
            m->errors = 0;
        }
    }
    bool failed = g.why == ExitWhy::error || g.why == ExitWhy::unknown;
    if (part_of_attempt(p.attempt) != part_) { // a guest: its job's owner hears of it by exchange
        if (m && failed) {
            ++m->errors;
        }
        return;
    }
    teams_.free(p.team, p.cpus, p.gpus);
    bool suspect_machine = account(now, g.task, g.why, m ? m->zone : "");
    if (m && failed && suspect_machine) {
        ++m->errors;
    }
}

// A placed task of ours is on no machine any more. Says whether its failure, if it is one,
// counts against the machine.
bool PartOwner::account(Time now, const TaskRef& task, ExitWhy why, const std::string& zone) {
    Job* job = jobs_.find(task.job);
    if (!job) {
        return true;
    }
    jobs_.unplace(*job, task.index, zone);
    bool counts = true;
    if (job->open() && why == ExitWhy::done) {
        jobs_.finish(*job, task.index);
        job->failures = 0;
        if (job->complete()) {
            finish_job(now, *job);
        }
    } else if (why == ExitWhy::error || why == ExitWhy::unknown) {
        calls_.log(Level::info,
                   "event=task_failed task=" + task.job + "/" + std::to_string(task.index));
        // A job that has failed on machine after machine is at fault itself, so it no longer
        // counts against the machines.
        counts = job->failures < policy_.sick_errors;
        ++job->failures;
        if (!counts) {
            double steps = std::min(6.0, job->failures - policy_.sick_errors);
            job->hold_until = now + facts_.report_s * std::pow(2.0, steps);
        }
    }
    if (job->spec.kind == JobKind::gang) {
        gang_task_gone(now, *job, why);
    }
    forget_if_over(task.job);
    return counts;
}

// Tasks that an owner before us started come to light through the listing.
void PartOwner::adopt_listed(Time now, Machine& m) {
    if (!loaded_) {
        return;
    }
    std::vector<ListedTask> listed = std::move(m.foreign);
    m.foreign.clear();
    for (const auto& t : listed) {
        bool guest = part_of_attempt(t.attempt) != part_;
        if (guest) {
            if (t.stage == TaskStage::exited) {
                m.finished.push_back(t); // until its job's owner says that its end is durable
            } else if (m.tasks.contains(t.task)) {
                m.foreign.push_back(t);
            } else {
                Placement p;
                p.shape_unknown = true;
                MachineTable::adopt(now, m, t, std::move(p));
            }
            continue;
        }
        Job* job = jobs_.find(t.task.job);
        if (!job || t.task.index >= job->spec.tasks) {
            m.foreign.push_back(t);
            continue;
        }
        bool waits = job->tasks[t.task.index] == TaskState::waiting && !m.tasks.contains(t.task);
        if (t.stage == TaskStage::exited) {
            if (t.why == ExitWhy::done && job->open()) {
                if (waits) {
                    jobs_.finish(*job, t.task.index);
                }
                m.finished.push_back(t); // cleared once durable
                if (job->complete()) {
                    finish_job(now, *job);
                }
            } else {
                m.foreign.push_back(t);
            }
        } else if (waits &&
                   (job->spec.kind != JobKind::gang || gangs_.adopt(now, t.task.job, t.attempt))) {
            MachineTable::adopt(now, m, t, shape_of(job->spec));
            jobs_.place(*job, t.task.index, m.zone);
            teams_.use(job->spec.team, job->spec.cpus, job->spec.gpus);
        } else {
            m.foreign.push_back(t);
        }
    }
}

bool PartOwner::end_is_durable(const ListedTask& t) {
    const Job* job = jobs_.find(t.task.job);
    return !job || !job->open() || t.why != ExitWhy::done ||
           (t.task.index < job->spec.tasks && jobs_.durable(*job, t.task.index));
}

Placement PartOwner::shape_of(const JobSpec& s) const {
    Placement p;
    p.team = s.team;
    p.kind = s.kind;
    p.priority = s.priority;
    p.cpus = s.cpus;
    p.gpus = s.gpus;
    p.ram_gb = s.ram_gb;
    p.image = s.image;
    p.image_gb = s.image_gb;
    return p;
}

// Clears and stops for what is on the machine and should not be. Both can be repeated.
void PartOwner::upkeep(Time, Machine& m, std::vector<Command>& out) {
    if (!loaded_) {
        return; // what is not known yet may be a job's rightful task
    }
    m.forget_told();
    for (const auto& t : m.finished) {
        bool guest = part_of_attempt(t.attempt) != part_;
        bool durable =
            guest ? m.clear_guests.contains(start_id(t.attempt, t.task.index)) : end_is_durable(t);
        if (durable && out.size() < kMostCommands) {
            out.push_back({Op::clear, t.task, t.attempt, 0});
        }
    }
    for (const auto& t : m.foreign) {
        if (out.size() >= kMostCommands) {
            break;
        }
        if (t.stage == TaskStage::exited) {
            out.push_back({Op::clear, t.task, t.attempt, 0});
        } else {
            out.push_back({Op::stop, t.task, t.attempt, 0});
        }
    }
    for (const auto& [task, p] : m.tasks) {
        Job* job = jobs_.find(task.job);
        bool stop = !job || !job->open();
        double grace_s = 0;
        if (part_of_attempt(p.attempt) != part_) {
            auto told = m.stop_guests.find(start_id(p.attempt, task.index));
            stop = told != m.stop_guests.end();
            grace_s = stop ? told->second : 0;
            if (jobs_.final_outcome(task.job) == Outcome::cancelled) {
                stop = true;
                grace_s = 0;
            }
        } else if (!stop && job->spec.kind == JobKind::service) {
            // Replicas move off a machine that is to go; a task of an array may end there.
            stop = m.draining || m.trimming;
            grace_s = job->spec.save_s;
        } else if (!stop && job->spec.kind == JobKind::gang) {
            const Gangs::Attempt* attempt = gangs_.find(task.job);
            stop = attempt && attempt->ending;
            grace_s = stop && attempt->saves ? kSaveTimes * job->spec.save_s : 0;
        }
        if (stop && p.via == Placement::Via::listed && out.size() < kMostCommands) {
            out.push_back({Op::stop, task, p.attempt, grace_s});
        }
    }
}

// ---- Placing ----

bool PartOwner::may_place(const Machine& m) const {
    return m.reported && m.fenced && m.on_roster && !m.draining && !m.trimming && !m.releasing &&
           !m.notice_s && !m.has_foreign() && !m.has_unknown_shape() &&
           m.errors < policy_.sick_errors;
}

void PartOwner::relist(Machine& m) {
    int idle = slots_idle(m.free_cpus(), m.free_gpus(), m.free_ram(), m.type);
    bool listed = may_place(m) && (idle > 0 || m.type.gpus > 0);
    slots_.set({m.type.name, m.spot}, m.name, listed ? idle : -1);
    note_guests(m.name, &m);
}

bool PartOwner::zone_allowed(const Job& job, const std::string& zone, std::uint32_t more) const {
    const JobSpec& s = job.spec;
    if (s.zone && *s.zone != zone) {
        return false;
    }
    if (s.one_zone && !job.zone_use.empty() && !job.zone_use.contains(zone)) {
        return false;
    }
    if (s.spread) {
        auto it = job.zone_use.find(zone);
        std::uint32_t there = it == job.zone_use.end() ? 0 : it->second;
        return may_spread(s, there + more);
    }
    return true;
}

// The head of the first list that has enough idle slots for a task of this shape. `task` and
// `job` are null when another part asks, whose owner checks the rest itself.
const std::string* PartOwner::find_slots(bool spot, const JobSpec& s, const TaskRef* task,
                                         const Job* job, const GangPlan* plan,
                                         const std::string& zone) const {
    // A machine that has the image before one that has to fetch it.
    for (bool warm : {true, false}) {
        for (const MachineType* type : by_fetch_) {
            const MachineType& t = *type;
            if (!s.allows_type(t.name)) {
                continue;
            }
            auto fits = [&](const std::string& name) {
                ++effort_;
                const Machine& m = machines_.all().at(name);
                double n = 1 + planned(plan ? &plan->on : nullptr, name);
                std::uint32_t more = 1 + planned(plan ? &plan->in_zone : nullptr, m.zone);
                bool allowed = job ? zone_allowed(*job, m.zone, more)
                                   : (!s.zone || *s.zone == m.zone) && may_spread(s, more);
                return allowed && (zone.empty() || zone == m.zone) && m.orders == 0 &&
                       m.kept_for(s.id) && m.free_cpus() >= n * s.cpus &&
                       m.free_ram() >= n * s.ram_gb && m.free_gpus() >= n * s.gpus &&
                       (!warm || m.warm(s.image)) && !(task && m.holds_exited(*task));
            };
            const std::string* found =
                slots_.pop({t.name, spot}, slots_listed(t, s.cpus, s.gpus, s.ram_gb), fits);
            if (found) {
                return found;
            }
        }
    }
    return nullptr;
}

bool PartOwner::place_one(Time now, bool spot, Job& job, std::uint32_t index) {
    const JobSpec& s = job.spec;
    TaskRef task{s.id, index};
    const std::string* found = find_slots(spot, s, &task, &job);
    if (!found) {
        return false;
    }
    start_on(now, *machines_.find(*found), job, index, new_attempt(part_, false));
    return true;
}

void PartOwner::start_on(Time now, Machine& m, Job& job, std::uint32_t index,
                         std::uint64_t attempt) {
    const JobSpec& s = job.spec;
    Placement p = shape_of(s);
    p.attempt = attempt;
    p.borrows = !teams_.within_guarantee(s.team, s.cpus, s.gpus);
    machines_.queue_start(now, m, {s.id, index}, std::move(p));
    jobs_.place(job, index, m.zone);
    teams_.use(s.team, s.cpus, s.gpus);
    relist(m);
}

Time PartOwner::due(Time now, const Job& job) const {
    // A job that has missed all its aims stands behind those that can still meet one.
    Time next = late(job);
    // What is left takes at least this long, even with all that its team may use.
    const JobSpec& s = job.spec;
    const TeamFacts* team = teams_.facts(s.team);
    double left = static_cast<double>(s.tasks - job.done);
    double at_once = s.kind == JobKind::array ? left * team->amount(s.cpus, s.gpus) : 0;
    double shortest = s.estimate_s * std::max(1.0, at_once / std::max(1.0, team->limit()));
    for (const auto& o : facts_.objectives) {
        if (o.job_class != job.spec.job_class) {
            continue;
        }
        bool own = o.kind == Objective::Kind::deadline;
        if (own && !job.spec.deadline_s) {
            continue;
        }
        Time at = job.known_since + (own ? *job.spec.deadline_s * o.times : o.within_s);
        bool starts = o.kind == Objective::Kind::wait;
        if (at > now + (starts ? 0 : shortest)) {
            next = std::min(next, at);
        }
    }
    return next;
}

// Idle slots go to the tasks that wait, our own and those that other parts want slots for, in
// one order: priority, guarantee before borrowing, what is due first, arrival.
bool PartOwner::waits(Time now, const Job& job) const {
    return (settled_ || (loaded_ && !job.in_doubt)) && job.open() && !job.waiting.empty() &&
           now >= job.hold_until && (job.spec.kind != JobKind::gang || gangs_.may_place(now, job));
}

// Gives each job its due time. Where a team cannot meet all of them with the CPUs it has, the job
// with most work left of those due by then stands behind: aims count jobs, and one large job that
// would be late all the same makes many small ones late (the rule of Moore and Hodgson).
void PartOwner::plan(Time now) {
    std::map<std::string, std::vector<Job*>> by_team;
    for (const auto& [id, job] : jobs_.all()) {
        bool idle = !job->open() || job->waiting.empty();
        job->waits_since = idle ? 0 : job->waits_since > 0 ? job->waits_since : now;
        if (job->open()) {
            job->due = due(now, *job);
            if (job->due < late(*job)) {
                by_team[job->spec.team].push_back(job.get());
            }
        }
    }
    for (auto& [team, jobs] : by_team) {
        std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
            return std::tie(a->spec.priority, a->due, a->spec.id) <
                   std::tie(b->spec.priority, b->due, b->spec.id);
        });
        const TeamFacts& facts = *teams_.facts(team);
        double slots = std::max(1.0, teams_.expected(team));
        std::set<std::tuple<double, std::string, Job*>>
            taken; // by work, so that the largest is last
        double busy = 0;
        for (Job* job : jobs) {
            double work = left_s(*job) * facts.amount(job->spec.cpus, job->spec.gpus) / slots;
            busy += work;
            taken.insert({work, job->spec.id, job});
            while (busy > kHopeless * (job->due - now) && !taken.empty()) {
                auto largest = std::prev(taken.end());
                Job* out = std::get<Job*>(*largest);
                if (out->spec.priority < job->spec.priority) {
                    break; // it runs first whatever its due time
                }
                busy -= std::get<double>(*largest);
                out->due = late(*out);
                taken.erase(largest);
            }
        }
    }
}

// What waits, in the order in which idle slots go to it. It is kept for a moment: the order
// hardly changes from one report to the next.
void PartOwner::refresh_order(Time now) {
    if (!order_stale_ && now < order_until_) {
        return;
    }
    order_stale_ = false;
    order_until_ = now + policy_.exchange_s;
    order_.clear();
    plan(now);
    for (const auto& [id, job] : jobs_.all()) {
        const JobSpec& s = job->spec;
        if (waits(now, *job)) {
            order_.push_back({s.priority, !teams_.within_guarantee(s.team, s.cpus, s.gpus),
                              longest_.contains(s.team), job->due, job->known_since, job.get(),
                              nullptr, part_});
        }
    }
    for (auto& [part, peer] : peers_) {
        if (now - peer.wants_at > facts_.report_s / 2) {
            continue; // it would have called again
        }
        for (auto& want : peer.wants) {
            if (want.count > 0) {
                order_.push_back({want.priority, want.borrows, want.longest,
                                  peer.wants_at + want.due_s, peer.wants_at - want.age_s, nullptr,
                                  &want, part});
            }
        }
    }
    std::sort(order_.begin(), order_.end(), [](const Candidate& a, const Candidate& b) {
        return std::tie(a.priority, a.borrows, b.longest, a.due, a.since) <
               std::tie(b.priority, b.borrows, a.longest, b.due, b.since);
    });
}

// A team whose work takes longer at the team's limit than all work takes on all machines decides
// when everything is over: each moment that it runs below its limit is added to the end.
void PartOwner::find_longest(Time now) {
    std::map<std::string, double> left; // in the team's own measure
    for (const auto& [id, job] : jobs_.all()) {
        const TeamFacts* f = teams_.facts(job->spec.team);
        if (job->open() && f) {
            left[f->name] += left_s(*job) * f->amount(job->spec.cpus, job->spec.gpus);
        }
    }
    Totals all = totals(now);
    double together = all.demand.left_slot_s / std::max(1.0, all.ordinary_slots + all.spot_slots);
    longest_.clear();
    for (const auto& [team, work] : left) {
        if (work > std::max(together, facts_.report_s) * teams_.facts(team)->limit()) {
            longest_.insert(team);
        }
    }
}

void PartOwner::place(Time now) {
    if (!loaded_ || !usable_now(now) || slots_.empty()) {
        return;
    }
    order_stale_ = true;
    refresh_order(now);
    // Each job on its own kind of machine first. What is left of the ordinary ones then serves
    // the jobs that may use spot machines as well: were they let in by rank, jobs that have
    // nowhere else to go would stand behind them.
    fill(now, true, true);
    fill(now, false, false);
    fill(now, false, true);
}

void PartOwner::fill(Time now, bool spot, bool spot_jobs) {
    using Shape = std::tuple<double, double, double>;
    std::set<Shape> full;
    for (const Candidate& c : order_) {
        if ((c.want ? c.want->spot : c.job->spec.spot) != spot_jobs) {
            continue;
        }
        if (c.want) {
            Shape shape{c.want->cpus, c.want->gpus, c.want->ram_gb};
            if (c.want->kind == JobKind::gang) {
                lend_gang(now, spot, c.thief, *c.want);
            } else if (!full.contains(shape)) {
                hand_over(now, spot, c.thief, *c.want);
            }
            continue;
        }
        const JobSpec& s = c.job->spec;
        bool plain = !s.types && !s.zone && !s.one_zone && !s.spread;
        Shape shape{s.cpus, s.gpus, s.ram_gb};
        if (s.kind == JobKind::gang) {
            place_gang(now, spot, *c.job);
            continue;
        }
        if (plain && full.contains(shape)) {
            continue; // no slot for its like a moment ago, so none now
        }
        while (!c.job->waiting.empty() && teams_.fits(s.team, s.cpus, s.gpus)) {
            if (!place_one(now, spot, *c.job, *c.job->waiting.begin())) {
                if (plain) {
                    full.insert(shape);
                }
                break;
            }
        }
    }
}

// Can the slots of this machine serve the candidate now?
bool PartOwner::suits(Time now, const Machine& m, const Candidate& c) const {
    if (c.want) {
        const Want& w = *c.want;
        return w.count > 0 && peers_.at(c.thief).left > 0 && m.kept_for(w.job) &&
               w.cpus <= m.free_cpus() && w.ram_gb <= m.free_ram() && w.gpus <= m.free_gpus() &&
               (!w.types ||
                std::find(w.types->begin(), w.types->end(), m.type.name) != w.types->end()) &&
               (!w.zone || *w.zone == m.zone);
    }
    const JobSpec& s = c.job->spec;
    return waits(now, *c.job) && m.kept_for(s.id) && s.cpus <= m.free_cpus() &&
           s.ram_gb <= m.free_ram() && s.gpus <= m.free_gpus() &&
           teams_.fits(s.team, s.cpus, s.gpus) && s.allows_type(m.type.name) &&
           zone_allowed(*c.job, m.zone) && !m.holds_exited({s.id, *c.job->waiting.begin()});
}

// The idle slots of one machine, as its report gives them. Of the candidates of the same rank, one
// whose image the machine has goes before one due a little earlier whose image it would have to
// fetch: while it is fetched, the slots stand idle.
void PartOwner::place_on(Time now, Machine& m) {
    if (!loaded_ || !usable_now(now) || !may_place(m) || m.orders != 0) {
        return;
    }
    refresh_order(now);
    std::set<const Candidate*> lacking; // gangs for which this machine is not enough
    auto best_of = [&](bool spot_jobs) {
        const Candidate* best = nullptr;
        Time best_due = 0;
        for (const Candidate& c : order_) {
            ++effort_;
            if (best && (std::tie(c.priority, c.borrows, c.longest) !=
                             std::tie(best->priority, best->borrows, best->longest) ||
                         c.due >= best_due)) {
                break; // no warm image makes up for that
            }
            if ((c.want ? c.want->spot : c.job->spec.spot) != spot_jobs || lacking.contains(&c) ||
                !suits(now, m, c)) {
                continue;
            }
            const std::string& image = c.want ? c.want->image : c.job->spec.image;
            double gb = c.want ? c.want->image_gb : c.job->spec.image_gb;
            double fetch_s = m.warm(image) ? 0 : gb / std::max(1e-3, m.type.fetch_gb_per_s);
            Time at = c.due + policy_.warm_patience * fetch_s;
            if (!best || at < best_due) {
                best = &c;
                best_due = at;
            }
        }
        return best;
    };
    // Ordinary machines serve first what may use nothing else.
    for (bool spot_jobs : {false, true}) {
        if (m.spot && !spot_jobs) {
            continue;
        }
        while (const Candidate* c = best_of(spot_jobs)) {
            bool gang = (c->want ? c->want->kind : c->job->spec.kind) == JobKind::gang;
            if (gang) {
                bool placed = c->want ? lend_gang(now, m.spot, c->thief, *c->want)
                                      : place_gang(now, m.spot, *c->job);
                if (!placed) {
                    lacking.insert(c);
                }
            } else if (c->want) {
                lend(now, m, c->thief, *c->want);
            } else {
                start_on(now, m, *c->job, *c->job->waiting.begin(), new_attempt(part_, false));
            }
        }
    }
}

void PartOwner::send_orders(Time now) {
    if (!usable_now(now)) {
        return;
    }
    for (Machine* sendable : machines_.to_send()) {
        Machine& m = *sendable;
        const std::string& name = m.name;
        ++effort_;
        std::uint64_t token = make_token(term_, m.sequence);
        auto commands = machines_.send_directly(m, token);
        CallId call =
            calls_.send(Orders{name, m.endpoint, token, m.session, commands},
                        [this, name = name](Time at, CallReply& reply) {
                            Machine* machine = machines_.find(name);
                            if (!machine || machine->orders != reply.call) {
                                return;
                            }
                            machine->orders = 0;
                            unanswered_ = reply.status == 0 ? unanswered_ + 1 : 0;
                            if (reply.report && reply.report->machine == name &&
                                (reply.status == 200 || reply.status == 409)) {
                                apply(at, *machine, *reply.report, reply.call);
                            } else {
                                machines_.fence(*machine);
                                relist(*machine);
                                calls_.log(Level::info, "event=orders_unanswered machine=" + name);
                            }
                            place_on(at, *machine);
                            send_orders(at);
                        });
        machines_.sent_directly(m, commands, call);
    }
}

void PartOwner::check_leases(Time now) {
    for (auto& [name, m] : machines_.all()) {
        if (!machines_.lapsed(now, m) || (!m.reported && m.tasks.empty())) {
            continue;
        }
        calls_.log(Level::info, "event=machine_lapsed machine=" + name);
        for (const auto& g : machines_.lapse(m)) {
            gone(now, name, g);
        }
        relist(m);
    }
}

std::size_t PartOwner::reporting() const {
    std::size_t n = 0;
    for (const auto& [name, m] : machines_.all()) {
        n += m.reported;
    }
    return n;
}

bool PartOwner::counts(const std::string& id, std::uint32_t& done, std::uint32_t& running) {
    Job* job = jobs_.find(id);
    if (!job) {
        return false;
    }
    done = job->done;
    running = job->placed;
    return true;
}

// ---- Durable writes ----

Txn PartOwner::guarded() const { return Txn{{{part_key(part_), term_}}, {}}; }

// Did the write take effect? Also notices when it was refused because the part is ours no more.
bool PartOwner::wrote(const CallReply& reply, const char* what) {
    if (reply.status == 200) {
        return true;
    }
    if (std::find(reply.failed.begin(), reply.failed.end(), part_key(part_)) !=
        reply.failed.end()) {
        deposed_ = true;
    }
    calls_.log(Level::info, std::string("event=write_failed what=") + what +
                                " status=" + std::to_string(reply.status));
    return false;
}

void PartOwner::write_roster(Time now, Machine& m) {
    Txn txn = guarded();
    txn.then.push_back(
        {roster_key(m.name), MachineRecord{m.endpoint, m.type.name, m.zone, m.spot}, {}});
    m.roster_write = calls_.send_state(now, StateBudget::Use::user, std::move(txn),
                                       [this, name = m.name](Time at, CallReply& reply) {
                                           bool ok = wrote(reply, "roster");
                                           Machine* machine = machines_.find(name);
                                           if (!machine) {
                                               return;
                                           }
                                           machine->roster_write = false;
                                           if (ok) {
                                               machine->on_roster = true;
                                               relist(*machine);
                                               place(at);
                                               send_orders(at);
                                           }
                                       });
}

void PartOwner::save_progress(Time now) {
    if (saving_ || !loaded_) {
        return;
    }
    // No more than the budget can ever give at once, or nothing would be saved while much changes.
    int most = std::min(facts_.txn_ops, calls_.most_changes(StateBudget::Use::progress));
    auto dirty = jobs_.dirty(static_cast<std::size_t>(most));
    if (dirty.empty()) {
        return;
    }
    Txn txn = guarded();
    std::size_t room = 48 * 1024; // of the 64 KiB that a transaction may have
    std::size_t n = 0;
    for (; n < dirty.size(); ++n) {
        auto bits = jobs_.chunk_bits(*jobs_.find(dirty[n].job), dirty[n].chunk);
        std::size_t size = bits.size() / 4 + 128;
        if (size > room) {
            break;
        }
        room -= size;
        txn.then.push_back(
            {progress_key(dirty[n].job, dirty[n].chunk), ProgressRecord{std::move(bits)}, {}});
    }
    dirty.resize(n);
    saving_ = calls_.send_state(
        now, StateBudget::Use::progress, std::move(txn), [this, dirty](Time at, CallReply& reply) {
            saving_ = false;
            // All parts together leave most of the changes to new jobs, outcomes and the roster.
            double parts = static_cast<double>(facts_.parts.size());
            double changes = static_cast<double>(dirty.size());
            next_save_ = at + std::max(facts_.report_s / 3,
                                       changes * parts / (kProgressShare * facts_.state_write_rps));
            if (wrote(reply, "progress")) {
                for (const auto& chunk : dirty) {
                    jobs_.saved(chunk);
                }
            }
        });
}

// The job's outcome and the end of its progress keys are one write; only then is it done.
void PartOwner::finish_job(Time now, Job& job) {
    if (job.finishing || now < job.finish_after) {
        return;
    }
    Txn txn = guarded();
    std::string id = job.spec.id;
    txn.when.push_back({kJobs + id, job.version});
    txn.then.push_back({kJobs + id, JobRecord{Outcome::done, {}}, {}});
    int most = std::min(facts_.txn_ops, calls_.most_changes(StateBudget::Use::user));
    for (std::uint32_t c = 0; c < jobs_.chunks(job); ++c) {
        if (job.chunk_saved[c] > 0 && static_cast<int>(txn.then.size()) < most) {
            txn.then.push_back({progress_key(id, c), {}, {}});
        }
    }
    job.finishing = calls_.send_state(now, StateBudget::Use::user, std::move(txn),
                                      [this, id](Time at, CallReply& reply) {
                                          Job* j = jobs_.find(id);
                                          if (j) {
                                              j->finishing = false;
                                              j->finish_after = at + facts_.report_s / 6;
                                          }
                                          if (wrote(reply, "outcome")) {
                                              calls_.log(Level::info, "event=job_done job=" + id);
                                              jobs_.final(id, Outcome::done);
                                              drop_job(id);
                                          } else if (reply.status == 409 && !deposed_) {
                                              reread_job(at, id);
                                          }
                                      });
}

// Its key has changed under us: a cancel came first, or our own write took effect unseen.
void PartOwner::reread_job(Time now, const std::string& id) {
    calls_.send_state(now, StateBudget::Use::user, Get{kJobs + id},
                      [this, id](Time at, CallReply& reply) {
                          if (reply.status != 200 || reply.items.empty()) {
                              return;
                          }
                          const auto* record = std::get_if<JobRecord>(&reply.items[0].record);
                          if (record && record->outcome == Outcome::cancelled) {
                              cancelled(at, id);
                          } else if (record && record->outcome == Outcome::done) {
                              jobs_.final(id, Outcome::done);
                              drop_job(id);
                          }
                      });
}

void PartOwner::cancelled(Time, const std::string& id) {
    if (jobs_.cancel(id)) {
        calls_.log(Level::info, "event=job_cancelled job=" + id);
        for (auto& [part, peer] : peers_) { // tasks on other parts' machines are stopped by theirs
            for (const auto& [machine, tasks] : peer.tasks) {
                for (auto it = tasks.lower_bound({id, 0}); it != tasks.end() && it->job == id;
                     ++it) {
                    tell(peer,
                         {Told::What::stop, machine, start_id(remote_.at(*it).attempt, it->index)});
                }
            }
        }
        for (auto& [name, m] : machines_.all()) { // starts that are not out yet never go out
            for (const auto& g : machines_.unqueue(m, &id)) {
                teams_.free(g.placement.team, g.placement.cpus, g.placement.gpus);
                jobs_.unplace(*jobs_.find(id), g.task.index, m.zone);
                relist(m);
            }
        }
    }
    forget_if_over(id);
}

// The order may point to the job.
void PartOwner::drop_job(const std::string& id) {
    order_.clear();
    order_stale_ = true;
    gangs_.gone(id);
    jobs_.drop(id);
}

void PartOwner::forget_if_over(const std::string& id) {
    Job* job = jobs_.find(id);
    if (job && settled_ && job->outcome == Outcome::cancelled && job->placed == 0) {
        jobs_.final(id, Outcome::cancelled);
        drop_job(id);
    }
}

// ---- The cloud ----

// Work that only ordinary machines may run and that is to start sooner than one boots needs
// machines that are there before it: as many as came of late in a boot time, and half as many
// again.
void PartOwner::note_arrival(Time now, const JobSpec& s) {
    if (types_.empty() || s.spot || now - since_ < facts_.lease_s) {
        return; // what was there when we came says nothing about what comes
    }
    const MachineType& t = usual_type(s);
    for (const auto& o : facts_.objectives) {
        if (o.kind == Objective::Kind::wait && o.job_class == s.job_class &&
            o.within_s < t.boot_s) {
            arrivals_.push_back(
                {now, s.tasks * slots_needed(t, s.cpus, s.gpus, s.ram_gb) * t.boot_s});
            return;
        }
    }
}

double PartOwner::ahead(Time now) const {
    double sum = 0;
    for (const auto& a : arrivals_) {
        sum += a.slots;
    }
    double seen = std::min(kArrivalLeases * facts_.lease_s, now - since_ - facts_.lease_s);
    return sum > 0 ? kAhead * sum / std::max(facts_.lease_s, seen) : 0;
}

Demand PartOwner::demand(Time now) {
    // Per team: what runs, and what must run to have the waiting work done within the horizon,
    // up to the team's limit.
    struct Need {
        double ordinary = 0; // slots
        double any = 0;
        double cpus = 0;
        double gpus = 0;
    };
    Demand d;
    std::map<std::string, Need> needs;
    double left = 0;
    for (const auto& [id, job] : jobs_.all()) {
        const JobSpec& s = job->spec;
        if (!job->open() || types_.empty()) {
            continue;
        }
        const MachineType& t = usual_type(s);
        double slots = slots_needed(t, s.cpus, s.gpus, s.ram_gb);
        double horizon = policy_.rent_horizon_s * t.boot_s;
        double waiting = static_cast<double>(job->waiting.size());
        double pace =
            s.kind == JobKind::service ? 1 : std::min(1.0, std::max(s.estimate_s, 1.0) / horizon);
        // A task longer than the horizon needs a place of its own.
        std::vector<std::string> open; // zones that its next task may be placed in
        for (const auto& zone : facts_.zones) {
            if (zone_allowed(*job, zone)) {
                open.push_back(zone);
            }
        }
        if (open.size() == 1 && waiting > 0) {
            d.bound[open.front()] += waiting * slots;
        }
        bool bound = s.kind == JobKind::gang || s.one_zone || s.spread || s.zone;
        if (bound && job->waits_since > 0 && now - job->waits_since > kStuckBoots * t.boot_s) {
            // New machines would be there by now: there is room, but not where it is needed. So
            // as much again is wanted, whatever the team's limit makes of the rest.
            (s.spot ? d.any_slots : d.ordinary_slots) += waiting * slots;
        }
        double tasks = job->placed + std::ceil(waiting * pace);
        Need& need = needs[s.team];
        (s.spot ? need.any : need.ordinary) += tasks * slots;
        need.cpus += tasks * s.cpus;
        need.gpus += tasks * s.gpus;
        left += left_s(*job) * slots;
    }
    d.left_slot_s = left;
    while (!arrivals_.empty() && now - arrivals_.front().at > kArrivalLeases * facts_.lease_s) {
        arrivals_.pop_front();
    }
    d.ordinary_slots += ahead(now);
    for (auto& [team, need] : needs) {
        const TeamFacts* f = teams_.facts(team);
        double cut = 1;
        if (f && f->cpus_max > 0 && need.cpus > f->cpus_max) {
            cut = f->cpus_max / need.cpus;
        }
        if (f && f->gpus_max > 0 && need.gpus > f->gpus_max) {
            cut = std::min(cut, f->gpus_max / need.gpus);
        }
        d.ordinary_slots += need.ordinary * cut;
        d.any_slots += need.any * cut;
    }
    return d;
}

// What this part has and wants, counted anew once a moment: every call to a peer says it.
const PartOwner::Standing& PartOwner::standing(Time now) {
    if (now < standing_until_) {
        return standing_;
    }
    standing_until_ = now + policy_.exchange_s;
    standing_ = {demand(now), {}};
    for (const auto& [name, m] : machines_.all()) {
        ++effort_;
        if (fleet_.usable(now, m)) {
            (m.spot ? standing_.fleet.spot : standing_.fleet.ordinary) += m.type.slots();
        }
    }
    return standing_;
}

Totals PartOwner::totals(Time now) {
    Totals sum;
    const Standing& own = standing(now);
    sum.demand = own.demand;
    sum.heard = true;
    sum.ordinary_slots = own.fleet.ordinary;
    sum.spot_slots = own.fleet.spot;
    for (const auto& [part, peer] : peers_) {
        sum.demand.ordinary_slots += peer.demand.ordinary_slots;
        sum.demand.any_slots += peer.demand.any_slots;
        sum.demand.left_slot_s += peer.demand.left_slot_s;
        for (const auto& [zone, slots] : peer.demand.bound) {
            sum.demand.bound[zone] += slots;
        }
        sum.heard = sum.heard && now - peer.heard_at < facts_.report_s;
        sum.ordinary_slots += peer.fleet.ordinary;
        sum.spot_slots += peer.fleet.spot;
    }
    for (const auto& [name, bought] : bought_) {
        if (const MachineType* t = type(bought.first.type)) {
            (bought.first.spot ? sum.spot_slots : sum.ordinary_slots) += t->slots();
        }
    }
    return sum;
}

void PartOwner::run_fleet(Time now) {
    std::erase_if(bought_, [&](const auto& b) {
        const MachineType* t = type(b.second.first.type);
        return !t || now - b.second.second > fleet_.boot_limit_s(*t);
    });
    Totals sum = totals(now);
    // One part buys for all, so that the same lack is not made up for several times; and not
    // before it has heard what the others have, or it would rent that once more.
    bool heard = std::all_of(peers_.begin(), peers_.end(),
                             [](const auto& p) { return p.second.job_term > 0; });
    if (part_ == kBuyer && (heard || now - since_ > facts_.lease_s)) {
        std::map<std::string, double> in_zone; // slots
        for (const auto& [name, m] : machines_.all()) {
            in_zone[m.zone] += m.type.slots();
        }
        for (const auto& [name, bought] : bought_) {
            const MachineType* t = type(bought.first.type);
            in_zone[bought.first.zone] += t ? t->slots() : 0;
        }
        for (const Rent& rent : fleet_.rent(now, sum, types_, in_zone)) {
            calls_.log(Level::info, "event=rent order=" + rent.order + " zone=" + rent.zone +
                                        " spot=" + (rent.spot ? "1" : "0") +
                                        " count=" + std::to_string(rent.count));
            calls_.send(rent, [this, rent](Time at, CallReply& reply) {
                fleet_.rented(at, rent, reply.status, reply.names.size());
                const MachineType* t = type(rent.type);
                for (const auto& name : reply.names) {
                    if (!t || machines_.find(name) || fleet_.was_released(at, name)) {
                        continue;
                    }
                    if (part_of_machine(facts_, name, rent.zone) == part_) {
                        machines_.add(at, name, *t, rent.zone, rent.spot);
                        standing_until_ = 0;
                    } else {
                        bought_[name] = {rent, at};
                    }
                }
            });
        }
    }
    for (const auto& name : fleet_.trim(now, machines_, sum)) {
        Machine& m = *machines_.find(name);
        m.trimming = !m.trimming;
        relist(m);
    }
    bool may_suspect = accounted_ && now - since_ > machines_.lease_bound_s();
    auto surplus = fleet_.surplus(now, machines_, sum, may_suspect);
    if (!surplus.empty() && now >= next_release_) {
        release(now, surplus);
    }
}

void PartOwner::release(Time, std::vector<std::string> names) {
    names.resize(std::min<std::size_t>(names.size(), 100));
    for (const auto& name : names) {
        Machine& m = *machines_.find(name);
        m.releasing = true;
        relist(m);
        calls_.log(Level::info,
                   "event=release machine=" + name + " tasks=" + std::to_string(m.tasks.size()));
    }
    calls_.send(Release{names}, [this, names](Time at, CallReply& reply) {
        for (const auto& name : names) {
            Machine* m = machines_.find(name);
            if (!m) {
                continue;
            }
            if (reply.status != 200) {
                m->releasing = false; // it is still a surplus, and tried again before long
                next_release_ = at + facts_.report_s;
                relist(*m);
                continue;
            }
            next_release_ = at + facts_.report_s / 2; // the cloud's limit is shared by all
            fleet_.released(at, name);
            slots_.remove(name);
            unaccounted_.erase(name);
            bool on_roster = m->on_roster;
            std::string zone = m->zone;
            // A peer may not have seen yet that its tasks there are gone, so the word stays.
            bool had_guests = m->guests_version > 0;
            guests_log_.erase(m->guests_version);
            auto all_gone = machines_.remove(name);
            if (had_guests) {
                note_guests(name, nullptr);
            }
            for (const auto& g : all_gone) {
                if (part_of_attempt(g.placement.attempt) == part_) {
                    teams_.free(g.placement.team, g.placement.cpus, g.placement.gpus);
                    account(at, g.task, ExitWhy::none, zone);
                }
            }
            if (on_roster) {
                Txn txn = guarded();
                txn.then.push_back({roster_key(name), {}, {}});
                // Lost, it only costs a later owner a wait.
                calls_.send_state(at, StateBudget::Use::user, std::move(txn),
                                  [this](Time, CallReply& r) { wrote(r, "roster"); });
            }
        }
        settle(at);
        place(at);
        send_orders(at);
    });
}

void PartOwner::list_hosts(Time, std::string after) {
    listing_ = true;
    calls_.send(ListHosts{after}, [this](Time at, CallReply& reply) {
        listing_ = false;
        next_list_ = at + facts_.list_lag_s;
        if (reply.status != 200) {
            return;
        }
        for (const auto& host : reply.hosts) {
            saw_host(at, host);
        }
        if (reply.more && !reply.hosts.empty()) {
            list_hosts(at, reply.hosts.back().name);
        }
    });
}

void PartOwner::saw_host(Time now, const Host& host) {
    if (part_of_machine(facts_, host.name, host.zone) != part_) {
        return;
    }
    Machine* m = machines_.find(host.name);
    if (!m) {
        const MachineType* t = type(host.type);
        if (!t || fleet_.was_released(now, host.name)) {
            return;
        }
        m = &machines_.add(now, host.name, *t, host.zone, host.spot);
        m->age_at_known_s = host.age_s;
        m->endpoint = host.endpoint;
        // It may be up, and carry tasks, but if so it is on the roster as well.
    }
    if (host.stage == HostStage::failed && !m->releasing) {
        calls_.log(Level::info, "event=machine_failed machine=" + host.name);
        release(now, {host.name});
    }
}

// Where this part's slots are, and what waits: one line now and then.
void PartOwner::log_stats(Time now) {
    double total = 0;
    double running = 0;
    double fetching = 0;
    double sent = 0;
    double idle = 0;
    double gathering = 0;
    double closed = 0; // on machines that take nothing
    int up = 0;
    auto taken = [](const MachineType& t, const Placement& p) {
        return t.gpus > 0 ? p.gpus : p.cpus;
    };
    for (const auto& [name, m] : machines_.all()) {
        if (!m.reported) {
            continue;
        }
        ++up;
        total += m.type.slots();
        for (const auto& [task, p] : m.tasks) {
            bool listed = p.via == Placement::Via::listed;
            (!listed                          ? sent
             : p.stage == TaskStage::fetching ? fetching
             : p.stage == TaskStage::waiting  ? gathering
                                              : running) += taken(m.type, p);
        }
        for (const auto& [attempt, lot] : m.lots) {
            sent += taken(m.type, lot.shape);
        }
        (may_place(m) ? idle : closed) += m.free_slots();
    }
    std::size_t waiting = 0;
    for (const auto& [id, job] : jobs_.all()) {
        waiting += job->open() ? job->waiting.size() : 0;
    }
    if (up == 0 && jobs_.all().empty()) {
        return;
    }
    auto count = [](double d) { return std::to_string(std::llround(d)); };
    calls_.log(Level::info, "event=part_stats part=" + std::to_string(part_) +
                                " machines=" + std::to_string(up) + " slots=" + count(total) +
                                " running=" + count(running) + " fetching=" + count(fetching) +
                                " gathering=" + count(gathering) + " sent=" + count(sent) +
                                " idle=" + count(idle) + " closed=" + count(closed) +
                                " jobs=" + std::to_string(jobs_.all().size()) +
                                " waiting=" + std::to_string(waiting));
    if (part_ == kBuyer) {
        Totals all = totals(now);
        calls_.log(Level::info,
                   "event=fleet_stats wants_ordinary=" + count(all.demand.ordinary_slots) +
                       " wants_any=" + count(all.demand.any_slots) + " has_ordinary=" +
                       count(all.ordinary_slots) + " has_spot=" + count(all.spot_slots));
    }
}

// ---- Time ----

void PartOwner::tick(Time now) {
    if (load_again_) {
        Range again = *std::exchange(load_again_, std::nullopt);
        load(now, again.prefix, again.after);
    }
    if (!loaded_) {
        return;
    }
    if (!usable_now(now)) {
        return;
    }
    check_leases(now);
    fence_lots(now);
    release_missing(now);
    settle(now);
    if (!settled_) {
        count_doubtful();
    }
    tend_gangs(now);
    watch(now);
    for (const auto& [id, job] : jobs_.all()) {
        if (job->open() && job->complete()) {
            finish_job(now, *job);
        }
    }
    if (now >= next_save_) {
        save_progress(now);
    }
    if (now >= next_list_ && !listing_) {
        list_hosts(now, "");
    }
    if (now >= next_stats_) {
        next_stats_ = now + 2 * facts_.report_s;
        log_stats(now);
    }
    if (now >= next_fleet_) {
        next_fleet_ = now + facts_.report_s / 3;
        find_longest(now);
        run_fleet(now);
    }
    place(now);
    press(now);
    send_orders(now);
    call_peers(now);
}

} // namespace orchidlanding
