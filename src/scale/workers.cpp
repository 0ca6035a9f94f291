// The hollow workers of a region: thousands in one process, each with an address of its own.
#include <algorithm>
#include <queue>
#include <random>
#include <set>

#include "scale/history.h"
#include "scale/hollow_worker.h"
#include "scale/http.h"
#include "scale/processes.h"

namespace scheduler::scale {

namespace {
constexpr double kLook_s = 0.01;
constexpr double kShortest_s = 0.5; // between two reports
constexpr double kNextNode_s = 1;
constexpr double kTimeout_s = 4;
constexpr double kSpread = 0.25; // of the time between reports

class Workers {
  public:
    Workers(const Plan& plan, Counters& counters, const std::string& history)
        : plan_(plan), counters_(counters), history_(history), random_(plan.region() + 1),
          type_(plan.machine_type()),
          orders_(loop_, [this](const HttpRequest& r, Responder to) { on_direct(r, to); }),
          control_(loop_, [this](const HttpRequest& r, Responder to) { on_control(r, to); }) {
        around_.job = [this](const std::string& id) { return plan_.job(id); };
        around_.run_s = [this](const TaskId& task) { return plan_.run_s(task); };
        around_.completed = [this](const TaskId& task) { return completed_.contains(task); };
        around_.came = [this](Time at, const std::string& machine, const TaskId& task) {
            ++counters_.running;
            ++counters_.starts;
            write(at, Event::Kind::came, machine, task);
        };
        around_.went = [this](Time at, const std::string& machine, const TaskId& task, bool done) {
            --counters_.running;
            ++counters_.ends;
            if (done) {
                completed_.insert(task);
            }
            write(at, done ? Event::Kind::done : Event::Kind::went, machine, task);
        };
        control_.listen(plan.host_of_stand_ins(), plan.control_port() + 1);
    }

    void run() {
        for (int n = 0; n < plan_.workers(); ++n) {
            boot(n, drawn(0, Plan::kReport_s));
        }
        loop_.every(kLook_s, [this] { look(); });
        counters_.workers_ready = 1;
        loop_.run();
    }

  private:
    struct Slot { // a machine that is up
        HollowWorker worker;
        evhttp_bound_socket* socket = nullptr;
        int node = 0;
        bool in_flight = false;
        Time last_sent = -1e9;
        Time due = 0;        // of the next report by the timer
        Time not_before = 0; // of any report
        Time queued = -1;    // the time that stands in the queue for it
    };

    double drawn(double from, double to) {
        return std::uniform_real_distribution<>(from, to)(random_);
    }

    void write(Time at, Event::Kind kind, const std::string& machine, const TaskId& task) {
        int number = plan_.worker_of(machine);
        Event e;
        e.kind = kind;
        e.time = at;
        e.machine = machine;
        e.zone = plan_.worker_zone(number);
        e.spot = plan_.worker_spot(number);
        e.task = task;
        history_.write(e);
    }

    void boot(int number, double first_report_s) {
        Time at = now();
        std::string host = plan_.worker_host(number);
        HollowWorker::Identity who{plan_.machine_name(number),
                                   host + ":" + std::to_string(plan_.worker_port()),
                                   plan_.worker_zone(number), plan_.worker_spot(number)};
        auto [it, fresh] =
            slots_.try_emplace(number, Slot{HollowWorker(at, who, type_, Plan::kLease_s, around_)});
        if (!fresh) {
            return;
        }
        it->second.socket = orders_.listen(host, plan_.worker_port());
        it->second.node = number % plan_.options().controllers;
        it->second.due = at + first_report_s;
        by_host_[host] = number;
        ++counters_.up;
        queue(number, it->second);
    }

    void end(int number) {
        auto it = slots_.find(number);
        if (it == slots_.end()) {
            return;
        }
        it->second.worker.die(now());
        orders_.close(it->second.socket);
        by_host_.erase(plan_.worker_host(number));
        slots_.erase(it);
        --counters_.up;
    }

    Time report_at(const Slot& s) const {
        Time at = s.worker.changed() ? std::min(s.due, s.last_sent + kShortest_s) : s.due;
        return std::max(at, s.not_before);
    }

    void queue(int number, Slot& s) {
        Time at = s.worker.next();
        if (!s.in_flight) {
            at = std::min(at, report_at(s));
        }
        if (s.queued < 0 || at < s.queued) {
            s.queued = at;
            queue_.push({at, number});
        }
    }

    void look() {
        Time at = now();
        while (!queue_.empty() && queue_.top().first <= at) {
            auto [when, number] = queue_.top();
            queue_.pop();
            auto it = slots_.find(number);
            if (it == slots_.end() || it->second.queued != when) {
                continue; // gone, or it stands elsewhere by now
            }
            Slot& s = it->second;
            s.queued = -1;
            s.worker.advance(at);
            if (!s.in_flight && at >= report_at(s)) {
                report(at, number, s);
            }
            queue(number, s);
        }
        replace();
    }

    void report(Time at, int number, Slot& s) {
        std::string body = pack_report(s.worker.report(at, true));
        s.in_flight = true;
        s.last_sent = at;
        s.due = at + Plan::kReport_s * drawn(1 - kSpread, 1 + kSpread);
        ++counters_.reports;
        HttpCall c;
        c.from = plan_.worker_host(number);
        c.host = plan_.node_host(s.node);
        c.port = plan_.users_port();
        c.path = "/v1/report";
        c.body = std::move(body);
        c.timeout_s = kTimeout_s;
        call(loop_, c, [this, number, at, session = s.worker.session()](const HttpAnswer& a) {
            on_answer(number, session, at, a);
        });
    }

    void on_answer(int number, std::uint64_t session, Time sent, const HttpAnswer& a) {
        counters_.report_sent += a.sent;
        counters_.report_received += a.received;
        auto it = slots_.find(number);
        if (it == slots_.end()) {
            return;
        }
        Slot& s = it->second;
        s.in_flight = false;
        Time at = now();
        try {
            if (a.status == 200) {
                ++counters_.reports_answered;
                if (!s.worker.answered(at, session, sent, parse_report_reply(a.body))) {
                    ++counters_.reports_dropped;
                }
            } else {
                int named = a.status == 421 ? node_of(parse_redirect(a.body)) : -1;
                ++(a.status == 421 ? counters_.reports_redirected : counters_.reports_refused);
                bool goes = named >= 0 && named != s.node;
                s.node = goes ? named : (s.node + 1) % plan_.options().controllers;
                s.not_before = at + (goes ? drawn(0, kShortest_s) : kNextNode_s);
                s.due = s.not_before;
            }
        } catch (const std::exception&) { // cannot be read: as no answer
            ++counters_.reports_refused;
            s.node = (s.node + 1) % plan_.options().controllers;
            s.due = s.not_before = at + kNextNode_s;
        }
        queue(number, s);
    }

    int node_of(const std::string& name) const {
        for (int n = 0; n < plan_.options().controllers; ++n) {
            if (plan_.node_name(n) == name) {
                return n;
            }
        }
        return -1;
    }

    // /orders and /inspect, at the address of a worker.
    void on_direct(const HttpRequest& r, Responder to) {
        auto known = by_host_.find(r.local_host);
        if (known == by_host_.end()) {
            to.send(404, "");
            return;
        }
        ++counters_.orders;
        counters_.orders_received += r.bytes;
        Slot& s = slots_.at(known->second);
        Time at = now();
        int status = 200;
        if (r.path != "/inspect") {
            try {
                status = s.worker.order(at, parse_orders(r.body));
            } catch (const std::exception&) {
                to.send(400, "");
                return;
            }
        }
        counters_.orders_sent += to.send(status, pack_report(s.worker.report(at, false)));
        queue(known->second, s);
    }

    void on_control(const HttpRequest& r, Responder to) {
        for (const auto& name : unpack(r.body)) {
            int number = plan_.worker_of(name.get<std::string>());
            if (r.path == "/boot") {
                boot(number, drawn(0, kShortest_s));
            } else {
                end(number);
            }
        }
        to.send(200, "");
    }

    // Machines that die without a word, as many as the supervisor asks for.
    void replace() {
        std::uint64_t n = std::min<std::uint64_t>(counters_.to_replace.exchange(0), slots_.size());
        if (n == 0) {
            return;
        }
        Json names = Json::array();
        for (; n > 0 && !slots_.empty(); --n) {
            auto it = slots_.begin();
            std::advance(it, random_() % slots_.size());
            int number = it->first;
            names.push_back(plan_.machine_name(number));
            end(number);
            ++counters_.died;
        }
        HttpCall c;
        c.host = plan_.host_of_stand_ins();
        c.port = plan_.control_port();
        c.path = "/died";
        c.body = pack(names);
        call(loop_, c, [](const HttpAnswer&) {});
    }

    const Plan& plan_;
    Counters& counters_;
    HistoryWriter history_;
    std::mt19937_64 random_;
    InstanceType type_;
    Loop loop_;
    HollowWorker::Surroundings around_;
    std::map<int, Slot> slots_;
    std::map<std::string, int> by_host_;
    std::set<TaskId> completed_;
    using Due = std::pair<Time, int>;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> queue_;
    HttpServer orders_;
    HttpServer control_;
};
} // namespace

void run_workers(const Plan& plan, Counters& counters, const std::string& history) {
    Workers(plan, counters, history).run();
}

} // namespace scheduler::scale
