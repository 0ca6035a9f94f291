#include "core/accounts.h"

namespace orchidlanding {

namespace {
// A machine that lives answers a question, or comes by itself, within this many report times.
constexpr double kTakeoverReports = 1.5;
// Direct questions to a machine after a takeover: one for the session, one for the answer, one
// more.
constexpr int kProbes = 3;
} // namespace

Accounts::Accounts(const Claim& claim, const Facts& facts, MachineTable& machines, Calls& calls,
                   Part& owner)
    : claim_(claim), facts_(facts), machines_(machines), calls_(calls), owner_(owner) {}

void Accounts::ask(Time) {
    for (const auto& name : open_) {
        probe(name, kProbes);
    }
}

bool Accounts::look(Time now) {
    if (now > claim_.since() + machines_.lease_bound_s()) {
        open_.clear();
    }
    done_ = open_.empty();
    return done_;
}

void Accounts::release_missing(Time now) {
    if (done_ || open_.size() * 2 > machines_.all().size()) {
        return;
    }
    bool all = now - claim_.since() > kTakeoverReports * facts_.report_s;
    std::vector<std::string> missing;
    for (const auto& name : open_) {
        const Machine* m = machines_.find(name);
        if (m && !m->reported && !m->releasing && (all || m->unanswered >= kProbes - 1)) {
            missing.push_back(name);
        }
    }
    if (!missing.empty() && now >= next_release_) {
        next_release_ = now + facts_.report_s / 6;
        owner_.release(now, missing);
    }
}

// An empty direct command under our token: its answer is a listing, and nothing that carries an
// older token can come after it. The first answer may only tell the session.
void Accounts::probe(const std::string& name, int tries) {
    Machine* m = machines_.find(name);
    if (!m || m->fenced || m->releasing || m->endpoint.empty() || tries == 0) {
        return;
    }
    calls_.send(Orders{name, m->endpoint, make_token(claim_.term(), m->sequence), m->session, {}},
                [this, name, tries](Time at, CallReply& reply) {
                    Machine* machine = machines_.find(name);
                    if (!machine || !claim_.usable(at)) {
                        return;
                    }
                    machine->unanswered = reply.status == 0 ? machine->unanswered + 1 : 0;
                    if (reply.report && reply.report->machine == name) {
                        if (reply.report->session > machine->lapsed_session) {
                            machine->last_report = at;
                        }
                        owner_.apply(at, *machine, *reply.report, reply.call);
                    }
                    owner_.settle(at);
                    probe(name, tries - 1);
                });
}

} // namespace orchidlanding
