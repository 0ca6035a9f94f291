#include "core/part_owner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/parts.h"

namespace orchidlanding {

namespace {
constexpr std::size_t kMostCommands = 200; // keeps a response well under the 64 KiB allowed
} // namespace

PartOwner::PartOwner(Time now, int part, const Facts& facts, const Policy& policy,
                     const Authority& authority, PartTable& table, StateBudget& budget,
                     JobIndex& index, const std::vector<MachineType>& types,
                     const TeamConfig& config)
    : PartTables(now, part, facts, policy, authority, table, budget, types), config_(config),
      index_(index),
      roster_({part_key(part), claim_.term()}, facts_, calls_,
              [this](Time at, const CallReply& reply, const std::vector<std::string>& names) {
                  on_roster(at, reply, names);
              }),
      order_(
          facts_, policy_, jobs_, teams_,
          [this](Time at, const Job& job) { return waits(at, job); },
          [this] { return lending_.wanted(); }),
      demand_(claim_, facts_, policy_, types_, jobs_, teams_, machines_, fleet_),
      renting_(claim_, facts_, holdings_, types_, machines_, fleet_, demand_, calls_, *this),
      accounts_(claim_, facts_, machines_, calls_, *this),
      lending_(claim_, facts_, holdings_, machines_, order_, demand_, calls_, *this),
      borrowing_(claim_, facts_, policy_, table, holdings_, jobs_, teams_, gangs_, order_, demand_,
                 calls_, *this),
      postbox_(claim_, facts_, table, lending_, borrowing_, calls_, *this),
      shares_(claim_, facts_, table, holdings_, types_, fleet_,
              {machines_, slots_, roster_, accounts_, lending_, borrowing_, demand_}, calls_,
              *this),
      fresh_(facts_) {
    for (const auto& [team, its_part] : parts_of_teams(facts_)) {
        teams_.configure(*config_.team(team), config_.held(team));
        if (its_part == part) {
            own_teams_.insert(team);
        }
    }
    config_known_ = config_.known(now, claim_.since());
    teams_.know(config_known_);
    load(now, kJobs, "");
}

// ---- Reports ----

void PartOwner::report(Time now, RequestId request, const Report& report) {
    const MachineType* t = types_.find(report.type);
    if (!t) {
        calls_.log(Level::error, "event=unknown_type machine=" + report.machine);
        calls_.answer(request, 503, Plain{"unknown machine type"}, 1);
        return;
    }
    if (!claim_.usable(now)) {
        calls_.answer(request, 503, Plain{"not entitled"}, 1);
        return;
    }
    ShareId share = share_of_machine(facts_, report.machine, report.zone);
    if (!holdings_.serves(share)) { // it passes on, or has
        calls_.answer(request, 503, Plain{"share not held"}, 1);
        return;
    }
    Machine* m = machines_.find(report.machine);
    if (!m) {
        if (fleet_.was_released(now, report.machine)) { // a message from the dead
            calls_.answer(request, 503, Plain{"released"}, 1);
            return;
        }
        m = &machines_.add(now, report.machine, *t, report.zone, report.spot, share,
                           holdings_.term(share));
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
        roster_.write(now, m->share.home, m->name, {m->endpoint, m->type.name, m->zone, m->spot});
    }
    apply(now, *m, report, 0);
    settle(now);
    place_on(now, *m);
    ReportAnswer answer;
    if (fresh_.enough(now)) {
        answer.token = m->token();
        if (current && m->fenced && loaded_) {
            upkeep(*m, answer.commands);
        } else {
            stop_cancelled(report, answer.commands);
        }
        if (current && m->fenced) {
            auto starts = machines_.send_in_response(*m);
            answer.commands.insert(answer.commands.end(), starts.begin(), starts.end());
        }
    }
    // Else it has no token: the worker stays with this node and its lease runs on unrenewed (one
    // that has never seen a token has no tasks, yet counts its lease from here). An owner that does
    // not know of cancellations, since it has only just claimed the part or since the state service
    // refuses it, would keep their tasks alive by every answer.
    machines_.renewed(now, *m);
    calls_.answer(request, 200, std::move(answer));
    send_orders(now);
}

void PartOwner::apply(Time now, Machine& m, const Report& report, CallId orders) {
    ListingResult result = machines_.listing(now, m, report, orders);
    for (const auto& g : result.gone) {
        gone(now, m.name, g);
    }
    if (m.fenced) {
        accounts_.seen(m); // from here on its listings are all there is
    }
    if (result.fresh) {
        adopt_listed(now, m);
        if (m.fenced && loaded_) { // what we had borrowed here and is not listed
            borrowing_.gone_with(now, m.name);
        }
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
    if (!claim_.ours(p.attempt)) { // a guest: its job's owner hears of it by exchange
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

// Tasks that an owner before us started come to light through the listing. Only one under our token
// counts: a report that comes late, of a machine that was released long ago or of one that has
// since ended the task, cannot show it. Once such a report was believed by an owner that had just
// started and no longer knew the machine; its tasks' true places were then taken for foreign, and
// the tasks started again while they ran.
void PartOwner::adopt_listed(Time now, Machine& m) {
    if (!loaded_ || !m.fenced) {
        return;
    }
    std::vector<ListedTask> listed = std::move(m.foreign);
    m.foreign.clear();
    for (const auto& t : listed) {
        bool guest = !claim_.ours(t.attempt);
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
        adopt_own(now, m, t);
    }
}

void PartOwner::adopt_own(Time now, Machine& m, const ListedTask& t) {
    Job* job = jobs_.find(t.task.job);
    if (borrowing_.take_home(t.task, t.attempt, m.name)) { // its machine has come to us
        if (!job || t.stage == TaskStage::exited) {
            m.finished.push_back(t);
            ended_there(now, t.task, t.why, m.zone);
        } else {
            MachineTable::adopt(now, m, t, placement_of(job->spec));
        }
        return;
    }
    if (!job || t.task.index >= job->spec.tasks) {
        m.foreign.push_back(t);
        return;
    }
    bool waits = job->tasks[t.task.index] == TaskState::waiting && !m.tasks.contains(t.task);
    if (t.stage == TaskStage::exited) {
        if (t.why == ExitWhy::done && job->open()) {
            m.finished.push_back(t); // cleared once durable
            if (waits) {
                found_done(now, *job, t.task.index);
            }
        } else {
            m.foreign.push_back(t);
        }
    } else if (waits &&
               (job->spec.kind != JobKind::gang || gangs_.adopt(now, t.task.job, t.attempt))) {
        MachineTable::adopt(now, m, t, placement_of(job->spec));
        jobs_.place(*job, t.task.index, m.zone);
        teams_.use(job->spec.team, job->spec.cpus, job->spec.gpus);
    } else {
        m.foreign.push_back(t);
    }
}

bool PartOwner::end_is_durable(const ListedTask& t) {
    const Job* job = jobs_.find(t.task.job);
    return !job || !job->open() || t.why != ExitWhy::done ||
           (t.task.index < job->spec.tasks && jobs_.durable(*job, t.task.index));
}

// What upkeep is too early or too late for: a report that is not the newest, a machine that has not
// shown our token, or jobs not read yet. Nothing but tasks of cancelled jobs is stopped then, but
// these are, or one that comes back from a cut for a single report would keep them for two leases.
void PartOwner::stop_cancelled(const Report& report, std::vector<Command>& out) const {
    for (const auto& t : report.tasks) {
        if (t.stage != TaskStage::exited && out.size() < kMostCommands &&
            index_.outcome(t.task.job) == Outcome::cancelled) {
            out.push_back({Op::stop, t.task, t.attempt, 0});
        }
    }
}

// Clears and stops for what is on the machine and should not be, all jobs being known and the
// machine fenced: else it may be a job's rightful task. Both can be repeated.
void PartOwner::upkeep(Machine& m, std::vector<Command>& out) {
    m.forget_told();
    for (const auto& t : m.finished) {
        bool guest = !claim_.ours(t.attempt);
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
        if (!claim_.ours(p.attempt)) {
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
    if (!claim_.usable(now) || !fresh_.enough(now)) {
        return;
    }
    int room = facts_.orders_at_once - orders_out_;
    for (Machine* sendable : machines_.to_send(static_cast<std::size_t>(std::max(0, room)))) {
        Machine& m = *sendable;
        const std::string& name = m.name;
        ++effort_;
        std::uint64_t token = m.token();
        auto commands = machines_.send_directly(m);
        ++orders_out_;
        CallId call =
            calls_.send(Orders{name, m.endpoint, token, m.session, commands},
                        [this, name = name](Time at, CallReply& reply) {
                            --orders_out_;
                            Machine* machine = machines_.find(name);
                            if (!machine || machine->orders != reply.call) {
                                return;
                            }
                            machine->orders = 0;
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
    for (Machine* m : machines_.lapsing(now)) {
        // While a share may be another's, that one may renew the leases there.
        if ((!m->reported && m->tasks.empty()) || !holdings_.serves(m->share)) {
            continue;
        }
        calls_.log(Level::info, "event=machine_lapsed machine=" + m->name);
        for (const auto& g : machines_.lapse(*m)) {
            gone(now, m->name, g);
        }
        relist(*m);
    }
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

// ---- What the parts of this owner ask of it ----

void PartOwner::ended_there(Time now, const TaskRef& task, ExitWhy why, const std::string& zone) {
    if (Job* job = jobs_.find(task.job)) {
        teams_.free(job->spec.team, job->spec.cpus, job->spec.gpus);
    }
    account(now, task, why, zone);
}

void PartOwner::found_done(Time now, Job& job, std::uint32_t task) {
    jobs_.finish(job, task);
    if (job.complete()) {
        finish_job(now, job);
    }
}

void PartOwner::after_reply(Time now) {
    place(now);
    send_orders(now);
    borrowing_.call(now);
}

void PartOwner::serve(Time now) {
    place(now);
    press(now);
    send_orders(now);
}

void PartOwner::released(Time now, const std::string& name) {
    Machine& m = *machines_.find(name);
    slots_.forget(name);
    accounts_.seen(m);
    lending_.note_gone(m);
    bool on_roster = m.on_roster || m.roster_write;
    int home = m.share.home;
    std::string zone = m.zone;
    for (const auto& g : machines_.remove(name)) {
        if (claim_.ours(g.placement.attempt)) {
            teams_.free(g.placement.team, g.placement.cpus, g.placement.gpus);
            account(now, g.task, ExitWhy::none, zone);
        }
    }
    if (on_roster) {
        roster_.drop(now, home, name);
    }
}

void PartOwner::release(Time now, std::vector<std::string> names) {
    renting_.release(now, std::move(names));
}

void PartOwner::resume(Time now) {
    settle(now);
    place(now);
    send_orders(now);
}

// A task that ended here would be run again if the machine went before its job's owner has heard of
// the end, which takes no longer than a call or two. A silent machine is not waited for.
bool PartOwner::owes_ends(Time now, const Machine& m) const {
    return m.reported && now - m.last_report < 2 * facts_.report_s && m.empty() &&
           lending_.owes_ends(m);
}

void PartOwner::exchange(Time now, RequestId request, const Exchange& in) {
    if (!claim_.usable(now) || !loaded_) {
        calls_.answer(request, 503, Plain{"not entitled"}, 1);
        return;
    }
    lending_.exchange(now, request, in);
}

// ---- Figures ----

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
    calls_.log(Level::info, "event=part_stats part=" + std::to_string(claim_.part()) +
                                " machines=" + std::to_string(up) + " slots=" + count(total) +
                                " running=" + count(running) + " fetching=" + count(fetching) +
                                " gathering=" + count(gathering) + " sent=" + count(sent) +
                                " idle=" + count(idle) + " closed=" + count(closed) +
                                " jobs=" + std::to_string(jobs_.all().size()) +
                                " waiting=" + std::to_string(waiting));
    if (renting_.buys()) {
        Totals all = demand_.totals(now);
        calls_.log(Level::info,
                   "event=fleet_stats wants_ordinary=" + count(all.demand.ordinary_slots) +
                       " wants_any=" + count(all.demand.any_slots) + " has_ordinary=" +
                       count(all.ordinary_slots) + " has_spot=" + count(all.spot_slots));
    }
}

// ---- Time ----

void PartOwner::tick(Time now, double capacity, bool may_move) {
    for (const auto& again : std::exchange(load_again_, {})) {
        load(now, again.prefix, again.after);
    }
    if (!loaded_ || !claim_.usable(now)) {
        return;
    }
    if (bool knows = fresh_.enough(now); knows != knew_) {
        knew_ = knows;
        calls_.log(Level::info, std::string("event=cancellations_") +
                                    (knows ? "known" : "not_known") +
                                    " part=" + std::to_string(claim_.part()));
    }
    learn_config(now);
    shed(now);
    check_leases(now);
    lending_.fence_lots(now);
    accounts_.ask();
    accounts_.release_missing(now);
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
    renting_.list(now);
    if (now >= next_stats_) {
        next_stats_ = now + 2 * facts_.report_s;
        log_stats(now);
    }
    if (renting_.due(now)) {
        demand_.set_capacity(capacity, shares_.takes(now));
        Totals all = demand_.totals(now);
        order_.take_stock(now, all.ordinary_slots + all.spot_slots, all.demand.left_slot_s);
        renting_.run(now, accounts_.all_done() && now - claim_.since() > machines_.lease_bound_s());
        if (may_move) {
            shares_.balance(now);
        }
    }
    place(now);
    press(now);
    send_orders(now);
    borrowing_.call(now);
    shares_.tick(now);
    postbox_.tick(now);
}

} // namespace orchidlanding
