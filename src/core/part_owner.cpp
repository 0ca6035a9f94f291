#include "core/part_owner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/parts.h"

namespace orchidlanding {

namespace {
// Delays of this process that a lease bound allows for, as a part of the lease: a safety bound.
constexpr double kMargin = 1.0 / 16;
// Bound work that waits longer than this many boots is rented for once more.
constexpr double kStuckBoots = 1.5;
constexpr double kArrivalLeases = 3;       // how long arrivals are remembered
constexpr double kAhead = 1.5;             // of what came in a boot time: rented before it comes
constexpr double kProgressShare = 0.3;     // of the changes that the state service takes
constexpr int kBuyer = 0;                  // the part whose owner rents for all
constexpr std::size_t kMostCommands = 200; // keeps a response well under the 64 KiB allowed

std::uint32_t chunk_tasks(const Facts& facts) {
    // Four tasks a character of hex, with a quarter of the value left for the rest.
    return static_cast<std::uint32_t>(std::max(64.0, facts.value_kb * 1024 * 0.75 * 4));
}

std::string progress_key(const std::string& job, std::uint32_t chunk) {
    return kProgress + job + "/" + std::to_string(chunk);
}
} // namespace

PartOwner::PartOwner(Time now, int part, const Facts& facts, const Policy& policy,
                     const Authority& authority, StateBudget& budget, JobIndex& index,
                     const std::vector<MachineType>& types)
    : part_(part), facts_(facts), policy_(policy), authority_(authority), index_(index),
      calls_(budget, (authority.term(part) << 32) + 1), types_(types), term_(authority.term(part)),
      since_(now),
      roster_("machine/" + std::to_string(part) + "/", {part_key(part), term_}, facts, calls_,
              [this](Time at, const CallReply& reply, const std::vector<std::string>& names) {
                  on_roster(at, reply, names);
              }),
      jobs_(chunk_tasks(facts)), machines_(facts.lease_s, facts.lease_s * kMargin),
      teams_(facts.teams), gangs_(facts.gang_wait_s), fleet_(facts, policy, authority.term(part)),
      order_(
          facts_, policy_, jobs_, teams_,
          [this](Time at, const Job& job) { return waits(at, job); },
          [this] {
              std::vector<PeerWants> all;
              for (auto& [p, peer] : peers_) {
                  all.push_back({p, peer.wants_at, &peer.wants});
              }
              return all;
          }),
      watched_at_(now) {
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
        m->roster_write = true;
        roster_.write(now, m->name, {m->endpoint, m->type.name, m->zone, m->spot});
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
    if (m.fenced) {
        unaccounted_.erase(m.name); // from here on its listings are all there is
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

// Machines that have come onto the roster may be used.
void PartOwner::on_roster(Time now, const CallReply& reply, const std::vector<std::string>& names) {
    wrote(reply, "roster");
    for (const auto& name : names) {
        if (Machine* machine = machines_.find(name)) {
            machine->on_roster = true;
            relist(*machine);
        }
    }
    if (!names.empty()) {
        place(now);
        send_orders(now);
    }
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
                                              index_.saw_final(at, id, Outcome::done);
                                              if (j) {
                                                  order_.done(j->spec);
                                              }
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
        left += WaitingOrder::left_s(*job) * slots;
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
    std::erase_if(surplus, [&](const auto& name) { return owes_ends(now, *machines_.find(name)); });
    if (!surplus.empty() && now >= next_release_) {
        release(now, surplus);
    }
}

// A task that ended here would be run again if the machine went before its job's owner has heard of
// the end, which takes no longer than a call or two. A silent machine is not waited for.
bool PartOwner::owes_ends(Time now, const Machine& m) const {
    return m.reported && now - m.last_report < 2 * facts_.report_s && m.empty() &&
           std::any_of(m.finished.begin(), m.finished.end(), [&](const ListedTask& t) {
               auto peer = peers_.find(part_of_attempt(t.attempt));
               return peer != peers_.end() && t.why == ExitWhy::done &&
                      peer->second.acked < m.guests_version &&
                      !m.clear_guests.contains(start_id(t.attempt, t.task.index));
           });
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
            slots_.forget(name);
            unaccounted_.erase(name);
            bool on_roster = m->on_roster || m->roster_write;
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
                roster_.drop(at, name);
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
    end_reservations(now);
    roster_.flush(now);
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
        Totals all = totals(now);
        order_.take_stock(now, all.ordinary_slots + all.spot_slots, all.demand.left_slot_s);
        run_fleet(now);
    }
    place(now);
    press(now);
    send_orders(now);
    call_peers(now);
}

} // namespace orchidlanding
