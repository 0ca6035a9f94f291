#include "core/controller.h"

namespace orchidlanding {

namespace {
constexpr char kPartKey[] = "part/0";
}

Controller::Controller(const Facts& facts, const Policy& policy)
    : facts_(facts), policy_(policy),
      budget_(facts.state_rps, facts.state_write_rps, static_cast<int>(facts.siblings.size()) + 1),
      calls_(budget_, 1), authority_(facts.node, policy.part_lease_s), desk_(facts_, calls_) {}

double Controller::tick_s() const { return facts_.report_s / 12; }

Outputs Controller::handle(Time now, Input input) {
    if (auto* submit = std::get_if<Submit>(&input)) {
        desk_.submit(now, *submit, types_);
    } else if (auto* poll = std::get_if<Poll>(&input)) {
        desk_.poll(now, *poll,
                   [this](const std::string& id, std::uint32_t& done, std::uint32_t& running) {
                       return owner_ && owner_->counts(id, done, running);
                   });
    } else if (auto* cancel = std::get_if<Cancel>(&input)) {
        desk_.cancel(now, *cancel);
    } else if (auto* ready = std::get_if<ReadyProbe>(&input)) {
        // A node that the state service does not answer can serve nobody; one that missed an
        // answer or two may still.
        bool ok = !types_.empty() && now - state_answered_ < facts_.lease_s / 3;
        calls_.answer(ready->request, ok ? 200 : 503, Plain{ok ? "ready" : "not ready"});
    } else if (auto* report = std::get_if<WorkerReport>(&input)) {
        on_report(now, *report);
    } else if (auto* reply = std::get_if<CallReply>(&input)) {
        if (!calls_.answered(now, *reply) && owner_) {
            owner_->answered(now, *reply);
        }
    } else {
        tick(now);
    }
    if (owner_ && owner_->deposed()) {
        step_down(now, "deposed");
    }
    Outputs out;
    if (owner_) {
        owner_->take(out);
    }
    calls_.take(out);
    return out;
}

void Controller::on_report(Time now, const WorkerReport& in) {
    if (owner_) {
        owner_->report(now, in.request, in.report);
        return;
    }
    const std::string& owner = authority_.owner();
    bool known = owner != "?" && owner != facts_.node;
    calls_.answer(in.request, 421, Redirect{known ? owner : ""});
}

void Controller::tick(Time now) {
    if (types_.empty() && !fetching_ && now >= next_catalog_) {
        fetch_catalog(now);
    }
    if (authority_.held()) {
        renew(now);
    } else {
        seek_part(now);
    }
    watch_part(now);
    if (owner_) {
        if (owner_->deaf(now)) {
            step_down(now, "deaf");
        } else {
            owner_->tick(now);
        }
    }
}

void Controller::fetch_catalog(Time now) {
    fetching_ = true;
    next_catalog_ = now + 1;
    calls_.send(Catalog{}, [this](Time, CallReply& reply) {
        fetching_ = false;
        if (reply.status == 200 && !reply.types.empty()) {
            types_ = reply.types;
        }
    });
}

// ---- The claim ----

void Controller::seek_part(Time now) {
    if (seeking_ || now < next_seek_) {
        return;
    }
    read_part(now);
}

// Who owns the part? Asked about once a second even when the watch is silent; the answer also
// shows whether the state service serves this node.
void Controller::read_part(Time now) {
    seeking_ = true;
    next_seek_ = now + facts_.report_s / 3;
    bool sent = calls_.send_state(
        now, StateBudget::Use::renewal, Get{kPartKey}, [this](Time at, CallReply& reply) {
            seeking_ = false;
            if (authority_.held() || authority_.phase() != Authority::Phase::idle) {
                return;
            }
            if (reply.status == 404) {
                state_answered_ = at;
                authority_.saw_owner("");
                part_version_ = 0;
            } else if (reply.status == 200 && !reply.items.empty()) {
                state_answered_ = at;
                const auto* part = std::get_if<PartRecord>(&reply.items[0].record);
                if (!part) {
                    calls_.log(Level::error, "event=unreadable_record key=part/0");
                    return;
                }
                authority_.saw_owner(part->node);
                part_version_ = reply.items[0].version;
            } else {
                return;
            }
            if (authority_.may_claim() && !types_.empty() && at >= abstain_until_) {
                claim(at, part_version_);
            }
        });
    if (!sent) {
        seeking_ = false;
    }
}

void Controller::watch_part(Time now) {
    if (watching_ || authority_.held() || now < next_seek_ - facts_.report_s / 3) {
        return;
    }
    watching_ = calls_.send_state(now, StateBudget::Use::poll,
                                  Watch{kPartKey, watch_from_, facts_.lease_s / 2},
                                  [this](Time at, CallReply& reply) {
                                      watching_ = false;
                                      if (reply.status == 200) {
                                          watch_from_ = std::max(watch_from_, reply.revision);
                                          if ((!reply.items.empty() || !reply.deleted.empty()) &&
                                              !authority_.held() && !seeking_) {
                                              read_part(at);
                                          }
                                      } else if (reply.status == 410) {
                                          watch_from_ = 0;
                                      }
                                  });
}

void Controller::claim(Time now, std::uint64_t version) {
    authority_.granting();
    calls_.send_state(now, StateBudget::Use::renewal, Grant{authority_.ttl_s()},
                      [this, version, sent = now](Time at, CallReply& reply) {
                          if (reply.status != 200) {
                              authority_.lost();
                              return;
                          }
                          authority_.granted(reply.lease, sent);
                          authority_.claiming();
                          Txn txn;
                          txn.when.push_back({kPartKey, version});
                          txn.then.push_back({kPartKey, PartRecord{facts_.node}, reply.lease});
                          calls_.send_state(
                              at, StateBudget::Use::renewal, std::move(txn),
                              [this](Time later, CallReply& r) {
                                  if (r.status != 200) {
                                      // If it takes effect after all, the key names this node,
                                      // and the next read leads to a new claim over it.
                                      authority_.lost();
                                      return;
                                  }
                                  authority_.claimed(r.revision);
                                  next_renew_ = later;
                                  calls_.log(Level::info, "event=part_claimed term=" +
                                                              std::to_string(r.revision));
                                  owner_ = std::make_unique<PartOwner>(later, facts_, policy_,
                                                                       authority_, budget_, types_);
                              });
                      });
}

void Controller::renew(Time now) {
    if (renewing_ || now < next_renew_) {
        return;
    }
    renewing_ = true;
    calls_.send_state(now, StateBudget::Use::renewal, Renew{authority_.lease()},
                      [this, sent = now, term = authority_.term()](Time at, CallReply& reply) {
                          renewing_ = false;
                          if (!authority_.held() || authority_.term() != term) {
                              return;
                          }
                          if (reply.status == 200) {
                              authority_.renewed(sent);
                              state_answered_ = at;
                              next_renew_ = sent + authority_.ttl_s() / 8;
                          } else if (reply.status == 404) {
                              step_down(at, "lease_ended");
                          } else {
                              next_renew_ = at + authority_.ttl_s() / 24;
                          }
                      });
}

void Controller::step_down(Time now, const char* why) {
    calls_.log(Level::info, std::string("event=stepped_down why=") + why +
                                " term=" + std::to_string(authority_.term()));
    if (std::string(why) == "deaf") {
        // Workers cannot reach this node, so others should have the part: left alone, the lease
        // ends by itself, and this node does not come back to it for a while.
        abstain_until_ = now + 2 * facts_.lease_s;
    }
    authority_.lost();
    owner_.reset();
    next_seek_ = now;
}

} // namespace orchidlanding
