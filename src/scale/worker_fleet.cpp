#include "scale/worker_fleet.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "scale/clock.h"
#include "scale/messages.h"
#include "scale/simulators.h"

namespace scheduler::scale {

namespace {
constexpr double kStepInterval_s = 0.01;
constexpr double kMinHeartbeatInterval_s = 0.5;
constexpr double kNextControllerDelay_s = 1; // delay before trying the next controller
constexpr double kHeartbeatTimeout_s = 4;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kHeartbeatJitter = 0.25; // fraction of the heartbeat interval
} // namespace

WorkerFleet::WorkerFleet(const Plan& plan, Counters& counters, const std::string& history)
    : plan_(plan), counters_(counters), history_(history), random_(plan.region() + 1),
      type_(plan.machine_type()), environment_(environment()),
      copies_(loop_, plan.options(), Plan::kLatestCopy_s, std::uint64_t(plan.region()) + 1),
      command_server_(loop_, [this](const HttpServerRequest& request,
                                    Responder to) { on_direct_command(request, to); }),
      cloud_server_(loop_, [this](const HttpServerRequest& request, Responder to) {
          on_cloud_command(request, to);
      }) {
    cloud_server_.listen(plan.services_host(), plan.workers_control_port());
}

HollowWorker::Environment WorkerFleet::environment() {
    HollowWorker::Environment out;
    out.job = [this](const std::string& id) { return plan_.job(id); };
    out.task_duration_s = [this](const TaskId& task) { return plan_.task_duration_s(task); };
    out.completed = [this](const TaskId& task) { return completed_.contains(task); };
    out.attempt_begun = [this](Time at, const std::string& machine, const TaskId& task,
                               std::uint64_t attempt, bool refused) {
        on_attempt_begun(at, machine, task, attempt, refused);
    };
    out.attempt_cleared = [this](double exited_for_s) {
        ++counters_.exits_cleared;
        counters_.exit_to_clear_ms += std::uint64_t(exited_for_s * kMillisecondsPerSecond);
    };
    out.task_started = [this](Time at, const std::string& machine, const TaskId& task) {
        ++counters_.running;
        ++counters_.starts;
        record(at, Event::Kind::task_started, machine, task);
    };
    out.task_stopped = [this](Time at, const std::string& machine, const TaskId& task,
                              bool completed) {
        --counters_.running;
        ++counters_.ends;
        if (completed) {
            completed_.insert(task);
        }
        record(at, completed ? Event::Kind::task_completed : Event::Kind::task_stopped, machine,
               task);
    };
    return out;
}

void WorkerFleet::run() {
    for (int worker = 0; worker < plan_.workers(); ++worker) {
        boot(worker, random_between(0, Plan::kHeartbeatInterval_s));
    }
    loop_.every(kStepInterval_s, [this] { step(); });
    counters_.workers_ready = 1;
    loop_.run();
}

double WorkerFleet::random_between(double from, double to) {
    return std::uniform_real_distribution<>(from, to)(random_);
}

void WorkerFleet::on_attempt_begun(Time at, const std::string& machine, const TaskId& task,
                                   std::uint64_t attempt, bool refused) {
    counters_.starts_refused += refused ? 1 : 0;
    if (!begun_attempts_.insert(attempt).second) {
        record(at, Event::Kind::attempt_repeated, machine, task, attempt);
    }
}

void WorkerFleet::record(Time at, Event::Kind kind, const std::string& machine, const TaskId& task,
                         std::uint64_t attempt) {
    int worker = plan_.worker_number(machine);
    Event event;
    event.kind = kind;
    event.time = at;
    event.machine = machine;
    event.zone = plan_.worker_zone(worker);
    event.spot = plan_.worker_spot(worker);
    event.task = task;
    event.request = attempt;
    history_.write(event);
}

void WorkerFleet::boot(int worker, double first_heartbeat_s) {
    Time at = now();
    std::string host = plan_.worker_host(worker);
    HollowWorker::Identity identity{plan_.machine_name(worker),
                                    host + ":" + std::to_string(plan_.worker_port()),
                                    plan_.worker_zone(worker), plan_.worker_spot(worker)};
    HollowWorker booted(at, identity, type_, Plan::kWorkerLease_s, environment_);
    auto [it, is_new] = machines_.try_emplace(worker, Machine{std::move(booted)});
    if (!is_new) {
        return;
    }
    Machine& machine = it->second;
    machine.socket = command_server_.listen(host, plan_.worker_port());
    machine.controller = worker % plan_.options().controllers;
    machine.heartbeat_due = at + first_heartbeat_s;
    by_host_[host] = worker;
    ++counters_.up;
    queue_wakeup(worker, machine);
}

void WorkerFleet::terminate(int worker) {
    auto it = machines_.find(worker);
    if (it == machines_.end()) {
        return;
    }
    it->second.worker.terminate(now());
    command_server_.close(it->second.socket);
    by_host_.erase(plan_.worker_host(worker));
    machines_.erase(it);
    --counters_.up;
}

// Terminates as many random workers without notice as the supervisor requested. The cloud is
// informed.
void WorkerFleet::terminate_random_workers() {
    std::uint64_t asked_for = counters_.to_replace.exchange(0);
    std::uint64_t count = std::min<std::uint64_t>(asked_for, machines_.size());
    if (count == 0) {
        return;
    }
    Json names = Json::array();
    for (; count > 0 && !machines_.empty(); --count) {
        auto it = machines_.begin();
        std::advance(it, random_() % machines_.size());
        int worker = it->first;
        names.push_back(plan_.machine_name(worker));
        terminate(worker);
        ++counters_.died;
    }
    HttpClientRequest request;
    request.host = plan_.services_host();
    request.port = plan_.cloud_control_port();
    request.path = "/died";
    request.body = pack(names);
    send_request(loop_, request, [](const HttpResponse&) {});
}

Time WorkerFleet::next_heartbeat_time(const Machine& machine) const {
    Time at = machine.heartbeat_due;
    if (machine.worker.changed()) {
        at = std::min(at, machine.last_sent + kMinHeartbeatInterval_s);
    }
    return std::max(at, machine.heartbeat_not_before);
}

void WorkerFleet::queue_wakeup(int worker, Machine& machine) {
    Time at = machine.worker.next_event_time();
    if (!machine.heartbeat_in_flight) {
        at = std::min(at, next_heartbeat_time(machine));
    }
    if (machine.queued < 0 || at < machine.queued) {
        machine.queued = at;
        wakeups_.push({at, worker});
    }
}

void WorkerFleet::step() {
    Time at = now();
    while (!wakeups_.empty() && wakeups_.top().time <= at) {
        Wakeup wakeup = wakeups_.top();
        wakeups_.pop();
        wake(at, wakeup);
    }
    terminate_random_workers();
}

void WorkerFleet::wake(Time at, const Wakeup& wakeup) {
    auto it = machines_.find(wakeup.worker);
    if (it == machines_.end() || it->second.queued != wakeup.time) {
        return;
    }
    Machine& machine = it->second;
    machine.queued = kNotQueued;
    machine.worker.advance(at);
    if (!machine.heartbeat_in_flight && at >= next_heartbeat_time(machine)) {
        send_heartbeat(at, wakeup.worker, machine);
    }
    queue_wakeup(wakeup.worker, machine);
}

void WorkerFleet::send_heartbeat(Time at, int worker, Machine& machine) {
    HttpClientRequest request;
    Heartbeat heartbeat = machine.worker.heartbeat(at, true);
    counters_.reported_exits += std::uint64_t(
        std::count_if(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                      [](const TaskStatus& task) { return task.stage == TaskStage::exited; }));
    request.body = pack_heartbeat(heartbeat);
    request.from = plan_.worker_host(worker);
    request.host = plan_.controller_host(machine.controller);
    request.port = plan_.client_port();
    request.path = "/v1/report";
    request.timeout_s = kHeartbeatTimeout_s;
    machine.heartbeat_in_flight = true;
    machine.last_sent = at;
    machine.heartbeat_due = at + Plan::kHeartbeatInterval_s *
                                     random_between(1 - kHeartbeatJitter, 1 + kHeartbeatJitter);
    ++counters_.reports;
    std::uint64_t agent_epoch = machine.worker.agent_epoch();
    send_request(loop_, request, [this, worker, at, agent_epoch](const HttpResponse& response) {
        on_heartbeat_response(worker, agent_epoch, at, response);
    });
    copies_.carried_out(
        [this, request] { send_request(loop_, request, [](const HttpResponse&) {}); });
}

void WorkerFleet::on_heartbeat_response(int worker, std::uint64_t agent_epoch, Time sent,
                                        const HttpResponse& response) {
    counters_.report_sent += response.sent;
    counters_.report_received += response.received;
    auto it = machines_.find(worker);
    if (it == machines_.end()) {
        return;
    }
    Machine& machine = it->second;
    machine.heartbeat_in_flight = false;
    Time at = now();
    try {
        if (response.status == kHttpOk) {
            on_heartbeat_accepted(at, machine, agent_epoch, sent, response.body);
        } else {
            on_heartbeat_rejected(at, machine, response);
        }
    } catch (const std::exception&) { // an unreadable response counts as none
        ++counters_.reports_refused;
        try_next_controller(at, machine);
    }
    queue_wakeup(worker, machine);
}

void WorkerFleet::on_heartbeat_accepted(Time at, Machine& machine, std::uint64_t agent_epoch,
                                        Time sent, const std::string& body) {
    ++counters_.reports_answered;
    if (!machine.worker.on_heartbeat_response(at, agent_epoch, sent,
                                              parse_heartbeat_response(body))) {
        ++counters_.reports_dropped;
    }
}

void WorkerFleet::on_heartbeat_rejected(Time at, Machine& machine, const HttpResponse& response) {
    if (response.status != kHttpMisdirected) {
        ++counters_.reports_refused;
        try_next_controller(at, machine);
        return;
    }
    int named = controller_number(parse_redirect(response.body));
    ++counters_.reports_redirected;
    if (named < 0 || named == machine.controller) {
        try_next_controller(at, machine);
        return;
    }
    machine.controller = named;
    machine.heartbeat_not_before = at + random_between(0, kMinHeartbeatInterval_s);
    machine.heartbeat_due = machine.heartbeat_not_before;
}

void WorkerFleet::try_next_controller(Time at, Machine& machine) {
    machine.controller = (machine.controller + 1) % plan_.options().controllers;
    machine.heartbeat_not_before = at + kNextControllerDelay_s;
    machine.heartbeat_due = machine.heartbeat_not_before;
}

int WorkerFleet::controller_number(const std::string& name) const {
    for (int c = 0; c < plan_.options().controllers; ++c) {
        if (plan_.controller_name(c) == name) {
            return c;
        }
    }
    return -1;
}

// Serves /orders and /inspect at the address of a worker.
void WorkerFleet::on_direct_command(const HttpServerRequest& request, Responder to) {
    auto known = by_host_.find(request.local_host);
    if (known == by_host_.end()) {
        to.send(kHttpNotFound, "");
        return;
    }
    ++counters_.orders;
    counters_.orders_received += request.bytes;
    int worker = known->second;
    Machine& machine = machines_.at(worker);
    Time at = now();
    int status = kHttpOk;
    if (request.path != "/inspect") {
        try {
            DirectCommands direct = parse_direct_commands(request.body);
            status = machine.worker.on_direct_commands(at, direct);
            copies_.carried_out([this, worker, direct] { deliver_copy(worker, direct); });
        } catch (const std::exception&) {
            to.send(kHttpBadRequest, "");
            return;
        }
        counters_.orders_refused += status == kHttpConflict ? 1 : 0;
    }
    counters_.orders_sent += to.send(status, pack_heartbeat(machine.worker.heartbeat(at, false)));
    queue_wakeup(worker, machine);
}

void WorkerFleet::deliver_copy(int worker, const DirectCommands& direct) {
    auto it = machines_.find(worker);
    if (it == machines_.end()) {
        return;
    }
    ++counters_.order_copies;
    int status = it->second.worker.on_direct_commands(now(), direct);
    counters_.order_copies_refused += status == kHttpConflict ? 1 : 0;
    queue_wakeup(worker, it->second);
}

// Serves notifications of machines that have booted or were released.
void WorkerFleet::on_cloud_command(const HttpServerRequest& request, Responder to) {
    for (const auto& name : unpack(request.body)) {
        int worker = plan_.worker_number(name.get<std::string>());
        if (request.path == "/boot") {
            boot(worker, random_between(0, kMinHeartbeatInterval_s));
        } else {
            terminate(worker);
        }
    }
    to.send(kHttpOk, "");
}

void run_workers(const Plan& plan, Counters& counters, const std::string& history) {
    WorkerFleet(plan, counters, history).run();
}

} // namespace scheduler::scale
