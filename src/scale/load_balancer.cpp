#include "scale/load_balancer.h"

#include <utility>

namespace scheduler::scale {

namespace {
constexpr double kProbeInterval_s = 1;
constexpr double kProbeTimeout_s = 1;
constexpr int kUnhealthyAfterProbes = 2; // failed in a row
} // namespace

LoadBalancer::LoadBalancer(EventLoop& loop, const Plan& plan)
    : loop_(loop), plan_(plan), backends_(std::size_t(plan.options().controllers)) {}

void LoadBalancer::start() {
    loop_.every(kProbeInterval_s, [this] { probe(); });
}

void LoadBalancer::probe() {
    for (int c = 0; c < int(backends_.size()); ++c) {
        HttpClientRequest request;
        request.host = plan_.controller_host(c);
        request.port = plan_.client_port();
        request.method = "GET";
        request.path = "/ready";
        request.timeout_s = kProbeTimeout_s;
        send_request(loop_, request,
                     [this, c](const HttpResponse& response) { on_probe(c, response); });
    }
}

void LoadBalancer::on_probe(int controller, const HttpResponse& response) {
    Backend& backend = backends_[std::size_t(controller)];
    if (response.status == kHttpOk) {
        backend.failed_probes = 0;
        backend.healthy = true;
        return;
    }
    ++backend.failed_probes;
    if (backend.failed_probes >= kUnhealthyAfterProbes) {
        backend.healthy = false;
    }
}

std::optional<int> LoadBalancer::pick() const {
    std::optional<int> best;
    for (int c = 0; c < int(backends_.size()); ++c) {
        const Backend& backend = backends_[std::size_t(c)];
        if (backend.healthy &&
            (!best || backend.open_connections < backends_[std::size_t(*best)].open_connections)) {
            best = c;
        }
    }
    return best;
}

bool LoadBalancer::send(HttpClientRequest request,
                        std::function<void(const HttpResponse&)> on_response) {
    std::optional<int> controller = pick();
    if (!controller) {
        return false;
    }
    request.host = plan_.controller_host(*controller);
    request.port = plan_.client_port();
    ++backends_[std::size_t(*controller)].open_connections;
    send_request(loop_, request,
                 [this, c = std::size_t(*controller),
                  on_response = std::move(on_response)](const HttpResponse& response) {
                     --backends_[c].open_connections;
                     on_response(response);
                 });
    return true;
}

} // namespace scheduler::scale
