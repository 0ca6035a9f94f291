#include "scale/store_server.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "scale/clock.h"

namespace scheduler::scale {

namespace {
constexpr double kLeaseCheckInterval_s = 0.05;
constexpr double kLimitBurst_s = 1;
constexpr std::size_t kMostItems = 1000; // of an answer
constexpr double kMillisecondsPerSecond = 1000;
constexpr std::uint64_t kCopySeed = 2;
constexpr std::string_view kKeyPath = "/kv/";
constexpr std::string_view kLeasePath = "/holds/";

std::string parameter(const HttpServerRequest& request, const char* name,
                      const std::string& otherwise) {
    auto it = request.query.find(name);
    return it == request.query.end() ? otherwise : it->second;
}
} // namespace

StoreServer::StoreServer(EventLoop& loop, const Plan& plan, Counters& counters)
    : counters_(counters), copies_(loop, plan.options(), Plan::kLatestCopy_s, kCopySeed),
      requests_(plan.options().state_rps, kLimitBurst_s),
      changes_(plan.options().state_write_rps, kLimitBurst_s),
      server_(loop,
              [this](const HttpServerRequest& request, Responder to) { serve(request, to); }) {
    server_.listen(plan.services_host(), plan.store_port());
    loop.every(kLeaseCheckInterval_s, [this] { expire_leases(); });
}

void StoreServer::expire_leases() {
    Time at = now();
    store_.expire(at);
    respond_to_watches(at);
    counters_.state_keys = store_.keys();
}

void StoreServer::respond(Responder to, const StoreModel::Response& answer) {
    counters_.state_sent += to.send(answer.status, pack(answer.body));
}

void StoreServer::serve(const HttpServerRequest& request, Responder to) {
    ++counters_.state_requests;
    counters_.state_received += request.bytes;
    Time at = now();
    if (!requests_.try_take(at, 1)) {
        ++counters_.state_refused;
        respond(to, {kHttpTooManyRequests, {{"error", "too many requests"}}});
        return;
    }
    try {
        route(at, request, to);
    } catch (const std::exception& bad) {
        respond(to, {kHttpBadRequest, {{"error", bad.what()}}});
    }
    respond_to_watches(at);
}

void StoreServer::route(Time at, const HttpServerRequest& request, Responder to) {
    const std::string& method = request.method;
    const std::string& path = request.path;
    if (method == "GET" && path.starts_with(kKeyPath)) {
        respond(to, store_.get(path.substr(kKeyPath.size())));
    } else if (method == "GET" && path == "/kv") {
        range(request, to);
    } else if (method == "POST" && path == "/txn") {
        transact(at, request, to);
    } else if (method == "POST" && path == "/holds") {
        double ttl_ms = unpack(request.body).at("ttl_ms").get<double>();
        respond(to, store_.grant(at, ttl_ms / kMillisecondsPerSecond));
    } else if (path.starts_with(kLeasePath)) {
        change_lease(at, request, to);
    } else if (method == "GET" && path == "/changes") {
        watch(at, request, to);
    } else {
        respond(to, {kHttpNotFound, {{"error", "no such path"}}});
    }
}

void StoreServer::range(const HttpServerRequest& request, Responder to) {
    std::size_t limit =
        std::min<std::size_t>(kMostItems, std::stoul(parameter(request, "limit", "1000")));
    respond(to,
            store_.range(parameter(request, "starts", ""), parameter(request, "since", ""), limit));
}

void StoreServer::transact(Time at, const HttpServerRequest& request, Responder to) {
    Json transaction = unpack(request.body);
    ++counters_.state_transactions;
    std::size_t changes = StoreModel::changes(transaction);
    if (!changes_.try_take(at, double(changes))) {
        ++counters_.state_refused;
        respond(to, {kHttpTooManyRequests, {{"error", "too many changes"}}});
        return;
    }
    StoreModel::Response answer = store_.transact(at, transaction);
    if (answer.status == kHttpOk) {
        counters_.state_changes += changes;
        carry_out_again([this, transaction](Time later) { store_.transact(later, transaction); });
    } else {
        ++counters_.state_conditions_failed;
    }
    respond(to, answer);
}

void StoreServer::change_lease(Time at, const HttpServerRequest& request, Responder to) {
    std::uint64_t lease = std::stoull(request.path.substr(kLeasePath.size()));
    bool revoke = request.method == "DELETE";
    respond(to, revoke ? store_.revoke(lease) : store_.renew(at, lease));
    carry_out_again([this, revoke, lease](Time later) {
        revoke ? store_.revoke(lease) : store_.renew(later, lease);
    });
}

// Draws whether the request arrives once more, and carries it out then.
void StoreServer::carry_out_again(std::function<void(Time)> work) {
    copies_.carried_out([this, work = std::move(work)] {
        Time later = now();
        work(later);
        respond_to_watches(later);
    });
}

void StoreServer::watch(Time at, const HttpServerRequest& request, Responder to) {
    ++counters_.state_watches;
    std::uint64_t since = std::stoull(parameter(request, "since", "0"));
    double wait_s = std::stod(parameter(request, "wait_ms", "0")) / kMillisecondsPerSecond;
    watches_.push_back({to, parameter(request, "starts", ""), since, at + wait_s});
}

// When the store has changed, or some deadline may have passed.
void StoreServer::respond_to_watches(Time at) {
    if (store_.revision() == watched_revision_ && at < next_watch_check_) {
        return;
    }
    watched_revision_ = store_.revision();
    next_watch_check_ = at + kLeaseCheckInterval_s;
    for (auto watch = watches_.begin(); watch != watches_.end();) {
        auto changes = store_.watch(watch->prefix, watch->since);
        if (!changes && at >= watch->deadline) {
            changes = store_.empty_watch_response();
        }
        if (!changes) {
            ++watch;
            continue;
        }
        respond(watch->responder, *changes);
        watch = watches_.erase(watch);
    }
}

} // namespace scheduler::scale
