// The users of a region behind their load balancer: they submit, poll, cancel and ask twice.
#include <algorithm>
#include <cmath>
#include <memory>

#include "scale/history.h"
#include "scale/http.h"
#include "scale/messages.h"
#include "scale/processes.h"

namespace scheduler::scale {

namespace {
constexpr double kLook_s = 0.02;
constexpr double kProbe_s = 1;
constexpr double kProbeTimeout_s = 1;
constexpr double kSubmit_s = 5; // that a user waits for the answer
constexpr double kPoll_s = 2;
constexpr double kPollEvery_s = 5;
constexpr double kPatience_s = 60;
constexpr double kLongestRetry_s = 30;
constexpr double kUrgentEvery_s = 1;
constexpr double kNobodyEvery_s = 7; // a job that nobody submitted is asked for
constexpr double kFilled = 0.5;      // of the tasks run: from then on as many come as end
constexpr double kRepeatAfter_s = 4;
constexpr double kCancelAfter_s = 3;
constexpr double kStanding_s = 0.1; // each controller is asked what it has in force
constexpr int kUnhealthyAfter = 2;  // probes in a row

class Users {
  public:
    Users(const Plan& plan, Counters& counters, const std::string& history)
        : plan_(plan), counters_(counters), history_(history),
          nodes_(std::size_t(plan.options().controllers)) {}

    void run() {
        loop_.every(kProbe_s, [this] { probe(); });
        loop_.every(kLook_s, [this] { look(); });
        if (plan_.options().changes > 0) {
            quotas_ = plan_.teams();
            first_ = quotas_;
            loop_.every(1 / plan_.options().changes, [this] { change(); });
            loop_.every(kStanding_s, [this] { ask_standing(); });
        }
        probe();
        began_ = now();
        next_nobody_ = began_ + kNobodyEvery_s;
        loop_.run();
    }

  private:
    struct Node {
        bool healthy = false;
        int failed = 0; // probes in a row
        int open = 0;   // connections
    };
    struct Job {
        bool accepted = false;
        bool over = false;
        bool repeats = false; // its submission is sent once more later
        bool cancels = false;
    };
    using Ask = Event::Kind;

    void probe() {
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
            HttpCall c;
            c.host = plan_.node_host(int(n));
            c.port = plan_.users_port();
            c.method = "GET";
            c.path = "/ready";
            c.timeout_s = kProbeTimeout_s;
            call(loop_, c, [this, n](const HttpAnswer& a) {
                Node& node = nodes_[n];
                node.failed = a.status == 200 ? 0 : node.failed + 1;
                if (node.failed == 0) {
                    node.healthy = true;
                } else if (node.failed >= kUnhealthyAfter) {
                    node.healthy = false;
                }
            });
        }
    }

    // An operator changes a team's limit: down to half of what it was at first, every fourth team's
    // far below what it runs, or back up.
    void change() {
        if (!filled_) {
            return;
        }
        std::size_t n = std::size_t(changed_++) % quotas_.size();
        TeamQuota& quota = quotas_[n];
        bool lower = quota.max_cpus == first_[n].max_cpus;
        double lowered = first_[n].max_cpus / (n % 4 == 0 ? 8 : 2);
        quota.max_cpus = lower ? std::max(quota.guaranteed_cpus, lowered) : first_[n].max_cpus;
        HttpCall c;
        c.host = plan_.host_of_stand_ins();
        c.port = plan_.state_port();
        c.path = "/txn";
        c.body = pack_team_change(quota);
        Event e;
        e.kind = Event::Kind::limit;
        e.time = now();
        e.stage = quota.name;
        e.amount = quota.max_cpus;
        call(loop_, c, [this, e, n, lower](const HttpAnswer& a) mutable {
            if (a.status != 200) { // not written, for all that we know: it is tried again
                quotas_[n].max_cpus = lower ? first_[n].max_cpus : quotas_[n].max_cpus;
                return;
            }
            ++counters_.changes;
            e.time = now();
            e.request = parse_revision(a.body);
            history_.write(e);
        });
    }

    // Up to which change each controller has all in force.
    void ask_standing() {
        for (int n = 0; n < plan_.options().controllers; ++n) {
            HttpCall c;
            c.host = plan_.node_host(n);
            c.port = plan_.back_port();
            c.path = "/config";
            c.body = pack_standing_ask(quotas_[0].name);
            c.timeout_s = kProbeTimeout_s;
            call(loop_, c, [this, n](const HttpAnswer& a) {
                if (a.status != 200) {
                    return;
                }
                std::uint64_t revision = parse_standing(a.body);
                if (revision > in_force_[n]) {
                    in_force_[n] = revision;
                    Event e;
                    e.kind = Event::Kind::in_force;
                    e.time = now();
                    e.machine = plan_.node_name(n);
                    e.request = revision;
                    history_.write(e);
                }
            });
        }
    }

    int pick() const {
        int best = -1;
        for (int n = 0; n < int(nodes_.size()); ++n) {
            if (nodes_[n].healthy && (best < 0 || nodes_[n].open < nodes_[best].open)) {
                best = n;
            }
        }
        return best;
    }

    void look() {
        Time at = now();
        if (pick() < 0) {
            return; // nobody is ready yet
        }
        if (!filling_) {
            filling_ = true;
            for (int n = 0; n < plan_.options().waiting; ++n) {
                submit(Plan::Kind::waiting, n);
            }
            for (int n = 0; n < plan_.fill_jobs(); ++n) {
                submit(Plan::Kind::fill, n);
            }
        }
        if (!filled_ && (double(counters_.running) >= kFilled * plan_.tasks() ||
                         at - began_ > plan_.options().fill_s)) {
            filled_ = true;
            next_ordinary_ = next_urgent_ = at;
        }
        if (filled_ && at >= next_ordinary_) {
            next_ordinary_ += plan_.job_every_s();
            submit(Plan::Kind::ordinary, ordinary_++);
        }
        if (filled_ && at >= next_urgent_) {
            next_urgent_ += kUrgentEvery_s;
            submit(Plan::Kind::urgent, urgent_++);
        }
        if (at >= next_nobody_) {
            next_nobody_ = at + kNobodyEvery_s;
            send(Ask::poll, plan_.job_id(Plan::Kind::nobody, nobody_++), at, [](int, auto&) {});
        }
    }

    void submit(Plan::Kind kind, int number) {
        std::string id = plan_.job_id(kind, number);
        Job& job = jobs_[id];
        job.repeats = number % 10 == 3;
        job.cancels = kind == Plan::Kind::ordinary && number % 20 == 7;
        ++counters_.jobs_open;
        insist(Ask::submit, id, now());
    }

    // Asks until there is an answer of this job, for a minute.
    void insist(Ask what, const std::string& id, Time first) {
        send(what, id, first, [this, what, id, first](int status, const HttpAnswer& a) {
            if (status == 200 || status == 201) {
                return;
            }
            if (status == 400 || status == 422 || status == 404) {
                give_up(what, id);
                return;
            }
            double wait = std::max(1.0, std::min(kLongestRetry_s, a.retry_after_s));
            if (now() + wait > first + kPatience_s) {
                give_up(what, id);
                return;
            }
            loop_.after(wait, [this, what, id, first] { insist(what, id, first); });
        });
    }

    void give_up(Ask what, const std::string& id) {
        ++counters_.given_up;
        if (what == Ask::submit && !jobs_[id].accepted) {
            jobs_[id].over = true;
            --counters_.jobs_open;
        }
    }

    template <class Then> void send(Ask what, const std::string& id, Time first, Then then) {
        send_to(what, id, first, 0, std::function<void(int, const HttpAnswer&)>(then));
    }

    // The load balancer tries up to three nodes when one refuses the connection.
    void send_to(Ask what, const std::string& id, Time first, int tried,
                 std::function<void(int, const HttpAnswer&)> then) {
        int n = pick();
        if (n < 0) {
            HttpAnswer none;
            loop_.after(0, [then, none] { then(0, none); });
            return;
        }
        HttpCall c;
        c.host = plan_.node_host(n);
        c.port = plan_.users_port();
        c.path = "/work";
        c.timeout_s = kSubmit_s;
        if (what == Ask::submit) {
            c.body = pack_job(*plan_.job(id));
            ++counters_.submissions;
        } else if (what == Ask::poll) {
            c.method = "GET";
            c.path += "/" + id;
            c.timeout_s = kPoll_s;
            ++counters_.polls;
        } else {
            c.path += "/" + id + "/withdraw";
            ++counters_.cancellations;
        }
        Event e;
        e.kind = what;
        e.time = now();
        e.task.job = id;
        e.request = ++request_;
        history_.write(e);
        ++nodes_[std::size_t(n)].open;
        call(loop_, c,
             [this, what, id, first, tried, n, then, request = e.request,
              asked = e.time](const HttpAnswer& a) {
                 --nodes_[std::size_t(n)].open;
                 counters_.user_sent += a.sent;
                 counters_.user_received += a.received;
                 if (a.status == 0 && now() - asked < 0.5 && tried < 2) {
                     send_to(what, id, first, tried + 1, then); // refused
                     return;
                 }
                 on_answer(what, id, request, a);
                 then(a.status, a);
             });
    }

    void on_answer(Ask what, const std::string& id, std::uint64_t request, const HttpAnswer& a) {
        if (a.status == 0) {
            return;
        }
        Event e;
        e.kind = Event::Kind::answered;
        e.time = now();
        e.task.job = id;
        e.request = request;
        e.status = a.status;
        if (a.status == 200 || a.status == 201) {
            e.stage = parse_stage(a.body);
        }
        history_.write(e);
        if (a.status == 429 || a.status == 503) {
            ++counters_.refused;
        }
        if (e.stage.empty()) {
            return;
        }
        Job& job = jobs_[id];
        if (what == Ask::submit && !job.accepted) {
            job.accepted = true;
            ++counters_.accepted;
            loop_.after(kPollEvery_s, [this, id] { poll(id); });
            if (job.repeats) {
                loop_.after(kRepeatAfter_s, [this, id] { insist(Ask::submit, id, now()); });
            }
            if (job.cancels) {
                loop_.after(kCancelAfter_s, [this, id] { insist(Ask::cancel, id, now()); });
            }
        }
        if ((e.stage == "done" || e.stage == "cancelled") && !job.over) {
            job.over = true;
            --counters_.jobs_open;
        }
    }

    // Every 5 s until it is over, and once more after: it has to stay so.
    void poll(const std::string& id) {
        bool last = jobs_[id].over;
        send(Ask::poll, id, now(), [](int, auto&) {});
        if (!last) {
            loop_.after(kPollEvery_s, [this, id] { poll(id); });
        }
    }

    const Plan& plan_;
    Counters& counters_;
    HistoryWriter history_;
    Loop loop_;
    std::vector<Node> nodes_;
    std::map<std::string, Job> jobs_;
    std::vector<TeamQuota> quotas_; // as last written
    std::vector<TeamQuota> first_;
    int changed_ = 0;
    std::map<int, std::uint64_t> in_force_; // by node
    std::uint64_t request_ = 0;
    Time began_ = 0;
    Time next_ordinary_ = 0;
    Time next_urgent_ = 0;
    Time next_nobody_ = 0;
    int ordinary_ = 0;
    int urgent_ = 0;
    int nobody_ = 0;
    bool filling_ = false;
    bool filled_ = false;
};
} // namespace

void run_users(const Plan& plan, Counters& counters, const std::string& history) {
    Users(plan, counters, history).run();
}

} // namespace scheduler::scale
