// State service and cloud of a region, in one process: the models round which sockets, limits and
// watches stand.
#include <algorithm>
#include <cmath>
#include <list>

#include "scale/cloud_model.h"
#include "scale/http.h"
#include "scale/processes.h"
#include "scale/state_store.h"

namespace scheduler::scale {

namespace {
constexpr double kLeaseLook_s = 0.05;
constexpr double kBootLook_s = 0.2;
constexpr std::size_t kMostItems = 1000;
constexpr std::size_t kMostHosts = 500;
constexpr int kMostRented = 50;

// So many a second, with bursts of `burst_s` seconds' worth.
class Limit {
  public:
    Limit(double rate, double burst_s) : rate_(rate), most_(rate * burst_s), left_(most_) {}
    bool take(Time at, double n) {
        left_ = std::min(most_, left_ + (at - last_) * rate_);
        last_ = at;
        if (left_ < n) {
            return false;
        }
        left_ -= n;
        return true;
    }

  private:
    double rate_;
    double most_;
    double left_;
    Time last_ = 0;
};

class StateService {
  public:
    StateService(Loop& loop, const Plan& plan, Counters& counters)
        : counters_(counters), requests_(plan.options().state_rps, 1),
          changes_(plan.options().state_write_rps, 1),
          server_(loop, [this](HttpRequest r, Responder to) { serve(std::move(r), to); }) {
        server_.listen(plan.host_of_stand_ins(), plan.state_port());
        loop.every(kLeaseLook_s, [this] {
            Time at = now();
            store_.expire(at);
            wake(at);
            counters_.state_keys = store_.keys();
        });
    }

  private:
    struct Waiting {
        Responder to;
        std::string prefix;
        std::uint64_t since = 0;
        Time until = 0;
    };

    void answer(Responder to, const StateStore::Answer& a) {
        counters_.state_sent += to.send(a.status, pack(a.body));
    }

    void serve(HttpRequest r, Responder to) {
        ++counters_.state_requests;
        counters_.state_received += r.bytes;
        Time at = now();
        if (!requests_.take(at, 1)) {
            ++counters_.state_refused;
            answer(to, {429, {{"error", "too many requests"}}});
            return;
        }
        try {
            route(at, r, to);
        } catch (const std::exception& bad) {
            answer(to, {400, {{"error", bad.what()}}});
        }
        wake(at);
    }

    void route(Time at, const HttpRequest& r, Responder to) {
        auto of = [&](const char* name, const std::string& otherwise) {
            auto it = r.query.find(name);
            return it == r.query.end() ? otherwise : it->second;
        };
        if (r.method == "GET" && r.path.starts_with("/kv/")) {
            answer(to, store_.get(r.path.substr(4)));
        } else if (r.method == "GET" && r.path == "/kv") {
            std::size_t limit = std::min<std::size_t>(kMostItems, std::stoul(of("limit", "1000")));
            answer(to, store_.range(of("starts", ""), of("since", ""), limit));
        } else if (r.method == "POST" && r.path == "/txn") {
            Json txn = unpack(r.body);
            ++counters_.state_transactions;
            std::size_t n = StateStore::changes(txn);
            if (!changes_.take(at, double(n))) {
                ++counters_.state_refused;
                answer(to, {429, {{"error", "too many changes"}}});
                return;
            }
            StateStore::Answer a = store_.transact(at, txn);
            (a.status == 200 ? counters_.state_changes : counters_.state_conditions_failed) +=
                a.status == 200 ? n : 1;
            answer(to, a);
        } else if (r.method == "POST" && r.path == "/holds") {
            answer(to, store_.grant(at, unpack(r.body).at("ttl_ms").get<double>() / 1000));
        } else if (r.path.starts_with("/holds/")) {
            std::uint64_t lease = std::stoull(r.path.substr(7));
            answer(to, r.method == "DELETE" ? store_.end(lease) : store_.renew(at, lease));
        } else if (r.method == "GET" && r.path == "/changes") {
            ++counters_.state_watches;
            watchers_.push_back({to, of("starts", ""), std::stoull(of("since", "0")),
                                 at + std::stod(of("wait_ms", "0")) / 1000});
        } else {
            answer(to, {404, {{"error", "no such path"}}});
        }
    }

    void wake(Time at) {
        if (store_.revision() == woken_ && at < next_wake_) {
            return;
        }
        woken_ = store_.revision();
        next_wake_ = at + kLeaseLook_s;
        for (auto it = watchers_.begin(); it != watchers_.end();) {
            auto news = store_.watch(it->prefix, it->since);
            if (!news && at >= it->until) {
                news = store_.nothing_changed();
            }
            if (news) {
                answer(it->to, *news);
                it = watchers_.erase(it);
            } else {
                ++it;
            }
        }
    }

    Counters& counters_;
    StateStore store_;
    Limit requests_;
    Limit changes_;
    std::list<Waiting> watchers_;
    std::uint64_t woken_ = 0;
    Time next_wake_ = 0;
    HttpServer server_;
};

class Cloud {
  public:
    Cloud(Loop& loop, const Plan& plan, Counters& counters)
        : loop_(loop), plan_(plan), counters_(counters), model_(plan, now()),
          limit_(plan.options().cloud_rps, 2),
          server_(loop, [this](const HttpRequest& r, Responder to) { serve(r, to); }),
          control_(loop, [this](const HttpRequest& r, Responder to) { // from the workers' process
              for (const auto& name : unpack(r.body)) {
                  model_.died(now(), name.get<std::string>());
              }
              to.send(200, "");
          }) {
        server_.listen(plan.host_of_stand_ins(), plan.cloud_port());
        control_.listen(plan.host_of_stand_ins(), plan.control_port());
        loop.every(kBootLook_s, [this] {
            if (auto up = model_.up(now()); !up.empty()) {
                tell_workers("/boot", up, [] {});
            }
        });
    }

  private:
    void tell_workers(const char* path, const std::vector<std::string>& names,
                      std::function<void()> then) {
        HttpCall c;
        c.host = plan_.host_of_stand_ins();
        c.port = plan_.control_port() + 1;
        c.path = path;
        c.body = pack(Json(names));
        call(loop_, c, [then = std::move(then)](const HttpAnswer&) { then(); });
    }

    void serve(const HttpRequest& r, Responder to) {
        ++counters_.cloud_calls;
        if (!limit_.take(now(), 1)) {
            ++counters_.cloud_refused;
            to.send(429, pack({{"error", "too many requests"}}));
            return;
        }
        try {
            route(r, to);
        } catch (const std::exception& bad) {
            to.send(400, pack({{"error", bad.what()}}));
        }
    }

    void route(const HttpRequest& r, Responder to) {
        Time at = now();
        if (r.method == "GET" && r.path == "/catalog") {
            to.send(200, pack({{"benches", Json::array({json_of(plan_.machine_type())})}}));
        } else if (r.method == "GET" && r.path == "/hosts") {
            auto since = r.query.find("since");
            bool more = false;
            Json hosts = Json::array();
            for (const auto& host :
                 model_.list(at, since == r.query.end() ? "" : since->second, kMostHosts, more)) {
                hosts.push_back(json_of(host));
            }
            to.send(200, pack({{"pots", std::move(hosts)}, {"more", more}}));
        } else if (r.path == "/hosts") {
            Json j = unpack(r.body);
            auto names = model_.rent(at, j.at("order").get<std::string>(),
                                     j.at("house").get<std::string>(), j.at("cuttings").get<bool>(),
                                     std::min(kMostRented, j.at("count").get<int>()));
            counters_.rented += names.size();
            if (names.empty()) {
                to.send(503, pack({{"error", "no capacity"}}));
            } else {
                to.send(200, pack({{"pots", names}}));
            }
        } else if (r.path == "/hosts/release") {
            auto names = unpack(r.body).at("pots").get<std::vector<std::string>>();
            counters_.released += names.size();
            // By the time of the answer the machines and all on them are gone.
            tell_workers("/release", names, [this, names, to]() mutable {
                model_.release(names);
                to.send(200, pack(Json::object()));
            });
        } else {
            to.send(404, "");
        }
    }

    Loop& loop_;
    const Plan& plan_;
    Counters& counters_;
    CloudModel model_;
    Limit limit_;
    HttpServer server_;
    HttpServer control_;
};
} // namespace

void run_stand_ins(const Plan& plan, Counters& counters) {
    Loop loop;
    StateService state(loop, plan, counters);
    Cloud cloud(loop, plan, counters);
    counters.stand_ins_ready = 1;
    loop.run();
}

} // namespace scheduler::scale
