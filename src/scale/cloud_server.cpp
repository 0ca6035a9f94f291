#include "scale/cloud_server.h"

#include <algorithm>
#include <utility>

#include "scale/clock.h"
#include "scale/http_client.h"
#include "scale/messages.h"

namespace scheduler::scale {

namespace {
constexpr double kBootCheckInterval_s = 0.2;
constexpr double kLimitBurst_s = 2;
constexpr std::size_t kMostListed = 500; // machines of an answer
constexpr int kMostRented = 50;          // by one request
constexpr std::uint64_t kCopySeed = 3;
} // namespace

CloudServer::CloudServer(EventLoop& loop, const Plan& plan, Counters& counters)
    : loop_(loop), plan_(plan), counters_(counters), model_(plan, now()),
      copies_(loop, plan.options(), Plan::kLatestCopy_s, kCopySeed),
      requests_(plan.options().cloud_rps, kLimitBurst_s),
      server_(loop, [this](const HttpServerRequest& request, Responder to) { serve(request, to); }),
      control_(loop,
               [this](const HttpServerRequest& request, Responder to) { on_died(request, to); }) {
    server_.listen(plan.services_host(), plan.cloud_port());
    control_.listen(plan.services_host(), plan.cloud_control_port());
    loop.every(kBootCheckInterval_s, [this] { tell_of_booted(); });
}

void CloudServer::tell_of_booted() {
    auto machines = model_.take_booted(now());
    if (!machines.empty()) {
        tell_workers("/boot", machines, [] {});
    }
}

void CloudServer::on_died(const HttpServerRequest& request, Responder to) {
    for (const auto& machine : unpack(request.body)) {
        model_.terminate(now(), machine.get<std::string>());
    }
    to.send(kHttpOk, "");
}

void CloudServer::tell_workers(const char* path, const std::vector<std::string>& machines,
                               std::function<void()> on_told) {
    HttpClientRequest request;
    request.host = plan_.services_host();
    request.port = plan_.workers_control_port();
    request.path = path;
    request.body = pack(Json(machines));
    send_request(loop_, request,
                 [on_told = std::move(on_told)](const HttpResponse&) { on_told(); });
}

void CloudServer::serve(const HttpServerRequest& request, Responder to) {
    ++counters_.cloud_calls;
    if (!requests_.try_take(now(), 1)) {
        ++counters_.cloud_refused;
        to.send(kHttpTooManyRequests, pack({{"error", "too many requests"}}));
        return;
    }
    try {
        route(request, to);
    } catch (const std::exception& bad) {
        to.send(kHttpBadRequest, pack({{"error", bad.what()}}));
    }
}

void CloudServer::route(const HttpServerRequest& request, Responder to) {
    if (request.method == "GET" && request.path == "/catalog") {
        Json types = Json::array({to_json_value(plan_.machine_type())});
        to.send(kHttpOk, pack({{"benches", std::move(types)}}));
    } else if (request.method == "GET" && request.path == "/hosts") {
        list(request, to);
    } else if (request.path == "/hosts") {
        provision(request, to);
    } else if (request.path == "/hosts/release") {
        release(request, to);
    } else {
        to.send(kHttpNotFound, "");
    }
}

void CloudServer::list(const HttpServerRequest& request, Responder to) {
    auto since = request.query.find("since");
    std::string after = since == request.query.end() ? "" : since->second;
    CloudModel::Page page = model_.list(now(), after, kMostListed);
    Json hosts = Json::array();
    for (const auto& host : page.hosts) {
        hosts.push_back(to_json_value(host));
    }
    to.send(kHttpOk, pack({{"pots", std::move(hosts)}, {"more", page.more}}));
}

void CloudServer::provision(const HttpServerRequest& request, Responder to) {
    Json body = unpack(request.body);
    int count = std::min(kMostRented, body.at("count").get<int>());
    auto machines = model_.provision(now(), body.at("order").get<std::string>(),
                                     body.at("house").get<std::string>(),
                                     body.at("cuttings").get<bool>(), count);
    counters_.rented += machines.size();
    copies_.carried_out([this, body, count] {
        model_.provision(now(), body.at("order").get<std::string>(),
                         body.at("house").get<std::string>(), body.at("cuttings").get<bool>(),
                         count);
    });
    if (machines.empty()) {
        to.send(kHttpUnavailable, pack({{"error", "no capacity"}}));
    } else {
        to.send(kHttpOk, pack({{"pots", machines}}));
    }
}

// By the time of the answer the machines and all on them are gone.
void CloudServer::release(const HttpServerRequest& request, Responder to) {
    auto machines = unpack(request.body).at("pots").get<std::vector<std::string>>();
    counters_.released += machines.size();
    tell_workers("/release", machines, [this, machines, to]() mutable {
        model_.release(machines);
        to.send(kHttpOk, pack(Json::object()));
    });
    copies_.carried_out([this, machines] {
        tell_workers("/release", machines, [this, machines] { model_.release(machines); });
    });
}

} // namespace scheduler::scale
