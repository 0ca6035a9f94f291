#include "core/mover.h"

namespace orchidlanding {

namespace {
// Report times that a share's starts and slots on their way have to settle, and that a transaction
// is tried for. A start shows within one, a slot handed over is fenced after one and a half.
constexpr double kSettleReports = 2;
constexpr double kTryReports = 4;
} // namespace

Mover::Mover(const Claim& claim, const Facts& facts, const PartTable& table, Holdings& holdings,
             Calls& calls, Part& owner)
    : claim_(claim), facts_(facts), table_(table), holdings_(holdings), calls_(calls),
      owner_(owner) {}

bool Mover::begin(Time now, const ShareId& share, int to) {
    if (move_ || to == claim_.part() || !holdings_.gives(share) || !table_.readable(share.home) ||
        !table_.may_change(facts_.txn_ops) || table_.at(to).version == 0) {
        return false;
    }
    calls_.log(Level::info, "event=share_passing share=" + text_of(share) + " from=" +
                                std::to_string(claim_.part()) + " to=" + std::to_string(to));
    move_ = Move{share, to, now};
    holdings_.set(share, Holdings::State::passing);
    owner_.relist(share);
    return true;
}

void Mover::tick(Time now) {
    if (!move_ || move_->in_flight || now < move_->next) {
        return;
    }
    if (move_->read_at > 0) {
        if (table_.revision() >= move_->read_at) {
            keep("refused"); // else `lost` would have been told
        }
        return;
    }
    if (move_->txn || owner_.still(move_->share) ||
        now - move_->since > kSettleReports * facts_.report_s) {
        send(now);
    }
}

void Mover::send(Time now) {
    Move& m = *move_;
    if (!m.txn) {
        auto holders = table_.holders().find(m.share.home);
        if (!table_.may_change(facts_.txn_ops) || !table_.readable(m.share.home) ||
            table_.at(claim_.part()).version != claim_.term() ||
            holders == table_.holders().end() || table_.at(m.to).version == 0) {
            keep("map_changed");
            return;
        }
        std::vector<int> next = holders->second;
        next[static_cast<std::size_t>(m.share.number)] = m.to;
        m.txn = Txn{table_.unchanged(), {}};
        table_.change(*m.txn, m.share.home, std::move(next));
    }
    // From here on the share may be the other part's at any moment.
    m.in_flight =
        calls_.send_state(now, StateBudget::Use::progress, *m.txn,
                          [this, share = m.share, since = m.since](Time at, CallReply& reply) {
                              if (move_ && move_->share == share && move_->since == since) {
                                  answered(at, reply);
                              }
                          });
    if (m.in_flight) {
        holdings_.set(m.share, Holdings::State::doubt);
    } else if (!m.doubt) {
        m.txn.reset(); // the budget does not let it go: made anew at the next try
        if (now - m.since > kTryReports * facts_.report_s) {
            keep("budget");
        }
    }
}

void Mover::answered(Time now, const CallReply& reply) {
    Move& m = *move_;
    m.in_flight = false;
    m.next = now + facts_.report_s / 6;
    if (reply.status == 200) {
        ShareId share = m.share;
        int to = m.to;
        std::uint64_t term = m.txn->when[static_cast<std::size_t>(to)].version;
        calls_.log(Level::info, "event=share_moved share=" + text_of(share) + " from=" +
                                    std::to_string(claim_.part()) + " to=" + std::to_string(to) +
                                    " took_s=" + std::to_string(now - m.since));
        move_.reset();
        holdings_.gave(share, reply.revision);
        owner_.hand_on(now, share, to);
        owner_.tell_given(to, {share, reply.revision, term});
    } else if (reply.status == 0) {
        m.doubt = true; // sent again until there is an answer
    } else if (!m.doubt) {
        keep(reply.status == 409 ? "refused" : "unavailable"); // it was not executed
    } else if (reply.status == 409) {
        // No copy can take effect from now on. Has an earlier one?
        m.read_at = std::max<std::uint64_t>(reply.revision, 1);
    }
}

void Mover::keep(const char* why) {
    ShareId share = move_->share;
    move_.reset();
    if (holdings_.find(share)) {
        bool doubt = !holdings_.serves(share);
        holdings_.set(share, Holdings::State::held);
        owner_.relist(share);
        if (doubt) {
            owner_.list_again(share);
        }
    }
    calls_.log(Level::info,
               "event=share_kept share=" + text_of(share) + " why=" + std::string(why));
}

void Mover::lost(const ShareId& share) {
    if (move_ && move_->share == share) {
        move_.reset();
    }
}

} // namespace orchidlanding
