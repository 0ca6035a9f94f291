#include "scale/quota_changer.h"

#include <algorithm>

#include "scale/clock.h"
#include "scale/messages.h"

namespace scheduler::scale {

namespace {
constexpr double kQueryInterval_s = 0.1;
constexpr double kQueryTimeout_s = 1;
constexpr double kLowerBy = 2;
// One in this many teams has its limit lowered far below its usage.
constexpr std::size_t kTeamsPerLargeCut = 4;
constexpr double kLowerByInLargeCut = 8;
} // namespace

QuotaChanger::QuotaChanger(EventLoop& loop, const Plan& plan, Counters& counters,
                           HistoryWriter& history)
    : loop_(loop), plan_(plan), counters_(counters), history_(history) {}

void QuotaChanger::start() {
    if (plan_.options().changes <= 0) {
        return;
    }
    original_ = plan_.teams();
    written_ = original_;
    loop_.every(1 / plan_.options().changes, [this] { change_next(); });
    loop_.every(kQueryInterval_s, [this] { query_applied_revisions(); });
}

// Lowers a team's limit, or restores the original limit if it is already lowered.
QuotaChanger::Change QuotaChanger::plan_change(std::size_t team) const {
    double original = original_[team].max_cpus;
    bool lowers = written_[team].max_cpus == original;
    double divisor = team % kTeamsPerLargeCut == 0 ? kLowerByInLargeCut : kLowerBy;
    double lowered = std::max(written_[team].guaranteed_cpus, original / divisor);
    return {team, lowers ? lowered : original, lowers};
}

void QuotaChanger::change_next() {
    if (!enabled_) {
        return;
    }
    Change change = plan_change(next_team_++ % written_.size());
    TeamQuota& quota = written_[change.team];
    quota.max_cpus = change.cpus_max;
    HttpClientRequest request;
    request.host = plan_.services_host();
    request.port = plan_.store_port();
    request.path = "/txn";
    request.body = pack_team_change(quota);
    send_request(loop_, request,
                 [this, change](const HttpResponse& response) { on_written(change, response); });
}

void QuotaChanger::on_written(const Change& change, const HttpResponse& response) {
    TeamQuota& quota = written_[change.team];
    if (response.status != kHttpOk) { // treated as not written
        if (change.lowers) {          // so that the next change lowers it again
            quota.max_cpus = original_[change.team].max_cpus;
        }
        return;
    }
    ++counters_.changes;
    Event event;
    event.kind = Event::Kind::quota_written;
    event.time = now();
    event.stage = quota.name;
    event.amount = change.cpus_max;
    event.request = parse_revision(response.body);
    history_.write(event);
}

void QuotaChanger::query_applied_revisions() {
    for (int c = 0; c < plan_.options().controllers; ++c) {
        HttpClientRequest request;
        request.host = plan_.controller_host(c);
        request.port = plan_.peer_port();
        request.path = "/config";
        request.body = pack_config_query(written_[0].name);
        request.timeout_s = kQueryTimeout_s;
        send_request(loop_, request, [this, c](const HttpResponse& response) {
            if (response.status == kHttpOk) {
                on_applied_revision(c, parse_applied_revision(response.body));
            }
        });
    }
}

void QuotaChanger::on_applied_revision(int controller, std::uint64_t revision) {
    std::uint64_t& applied = applied_revisions_[controller];
    if (revision <= applied) {
        return;
    }
    applied = revision;
    Event event;
    event.kind = Event::Kind::quota_applied;
    event.time = now();
    event.machine = plan_.controller_name(controller);
    event.request = revision;
    history_.write(event);
}

} // namespace scheduler::scale
