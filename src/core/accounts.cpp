#include "core/accounts.h"

#include <algorithm>

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

void Accounts::seen(const Machine& machine) {
    if (auto share = shares_.find(machine.share); share != shares_.end()) {
        share->second.open.erase(machine.name);
    }
}

void Accounts::read(const ShareId& share) {
    Share& s = shares_.at(share);
    s.read = true;
    for (const auto& name : s.open) {
        to_ask_.push_back({name, kProbes});
    }
    ask();
}

std::vector<ShareId> Accounts::look(Time now) {
    std::vector<ShareId> news;
    for (auto& [id, s] : shares_) {
        if (s.done || !s.read) {
            continue;
        }
        if (now > s.since + machines_.lease_bound_s()) {
            s.open.clear();
        }
        s.done = s.open.empty();
        if (s.done) {
            news.push_back(id);
        }
    }
    return news;
}

bool Accounts::done(const ShareId& share) const {
    auto it = shares_.find(share);
    return it != shares_.end() && it->second.done;
}

bool Accounts::all_done() const {
    return std::all_of(shares_.begin(), shares_.end(), [](const auto& s) { return s.second.done; });
}

void Accounts::release_missing(Time now) {
    struct Group { // of shares that came at the same time
        std::size_t open = 0;
        std::size_t all = 0;
    };
    std::map<Time, Group> groups;
    std::size_t open = 0;
    for (const auto& [id, s] : shares_) {
        groups[s.since].open += s.open.size();
        open += s.open.size();
    }
    if (open == 0 || now < next_release_) {
        return;
    }
    std::size_t heard = 0;
    for (const auto& [name, m] : machines_.all()) {
        heard += m.reported && now - m.last_report < kTakeoverReports * facts_.report_s;
        if (auto share = shares_.find(m.share); share != shares_.end()) {
            ++groups[share->second.since].all;
        }
    }
    if (open > heard) {
        return; // it is we who hear nothing
    }
    std::vector<std::string> missing;
    for (const auto& [id, s] : shares_) {
        const Group& group = groups[s.since];
        bool all = now - s.since > kTakeoverReports * facts_.report_s;
        for (const auto& name : s.open) {
            const Machine* m = machines_.find(name);
            if (2 * group.open <= group.all && m && !m->reported && !m->releasing &&
                (all || m->unanswered >= kProbes - 1)) {
                missing.push_back(name);
            }
        }
    }
    if (!missing.empty()) {
        next_release_ = now + facts_.report_s / 6;
        owner_.release(now, missing);
    }
}

void Accounts::ask(const std::string& machine) {
    to_ask_.push_back({machine, 1});
    ask();
}

// No more than may be under way at once: a question that has to wait in this process would look as
// if the machine did not answer.
void Accounts::ask() {
    while (asking_ < facts_.orders_at_once && !to_ask_.empty()) {
        Question question = std::move(to_ask_.front());
        to_ask_.pop_front();
        probe(question);
    }
}

// An empty direct command under our token: its answer is a listing, and nothing that carries an
// older token can come after it. The first answer may only tell the session.
void Accounts::probe(const Question& question) {
    Machine* m = machines_.find(question.machine);
    if (!m || m->fenced || m->releasing || m->endpoint.empty()) {
        return;
    }
    ++asking_;
    calls_.send(Orders{m->name, m->endpoint, m->token(), m->session, {}},
                [this, question](Time at, CallReply& reply) {
                    --asking_;
                    Machine* machine = machines_.find(question.machine);
                    if (!machine || !claim_.usable(at)) {
                        return;
                    }
                    if (reply.unsent) { // says nothing of the machine: asked again at the next tick
                        to_ask_.push_back(question);
                        return;
                    }
                    machine->unanswered = reply.status == 0 ? machine->unanswered + 1 : 0;
                    if (reply.report && reply.report->machine == question.machine) {
                        if (reply.report->session > machine->lapsed_session) {
                            machine->last_report = at;
                        }
                        owner_.apply(at, *machine, *reply.report, reply.call);
                    }
                    owner_.settle(at);
                    if (question.tries > 1) {
                        to_ask_.push_back({question.machine, question.tries - 1});
                    }
                    ask();
                });
}

} // namespace orchidlanding
