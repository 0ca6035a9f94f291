#include "core/balance.h"

#include <algorithm>

namespace orchidlanding {

namespace {
constexpr double kLeastCapacity = 0.1;
constexpr double kLate = 1.0 / 12;  // of a report time, on the average of one: the timer comes late
constexpr double kFall = 0.75;      // of the capacity that is left then
constexpr double kRise = 0.1;       // of the whole, for each lease time without
constexpr double kBegin = 1.5;      // times the load of the other, for what each can do
constexpr double kEnd = 1.15;       // ... until it is no more than this
constexpr double kMachines = 8;     // for each part, on the average: below that a machine is a lot
constexpr double kHourly = 4;       // moves in an hour, in shares that a part has at home
constexpr double kPauseReports = 1; // between two moves of one giver
constexpr double kHour = 3600;
} // namespace

Capacity::Capacity(const Facts& facts, double tick_s)
    : report_s_(facts.report_s), lease_s_(facts.lease_s), tick_s_(tick_s) {}

void Capacity::tick(Time now) {
    if (last_ < 0) {
        last_ = now;
        window_since_ = now;
        raise_at_ = now + lease_s_;
        return;
    }
    late_s_ += std::max(0.0, now - last_ - tick_s_);
    ++ticks_;
    last_ = now;
    if (now - window_since_ < report_s_) {
        return;
    }
    if (late_s_ / ticks_ > kLate * report_s_) {
        value_ = std::max(kLeastCapacity, value_ * kFall);
        raise_at_ = now + lease_s_;
    } else if (now >= raise_at_) {
        value_ = std::min(1.0, value_ + kRise);
        raise_at_ = now + lease_s_;
    }
    window_since_ = now;
    late_s_ = 0;
    ticks_ = 0;
}

Balance::Balance(const Facts& facts)
    : report_s_(facts.report_s), most_an_hour_(kHourly * shares_at(facts, facts.home)),
      left_(shares_at(facts, facts.home)) {}

void Balance::began(Time now) {
    left_ -= 1;
    next_ = now + kPauseReports * report_s_;
}

std::optional<MoveChoice> Balance::choose(Time now, int self, const std::vector<PartLoad>& parts,
                                          const std::vector<ShareLoad>& shares,
                                          double machine_slots) {
    left_ = std::min(most_an_hour_ / kHourly, left_ + (now - left_at_) * most_an_hour_ / kHour);
    left_at_ = now;
    double total = 0;
    const PartLoad* mine = nullptr;
    const PartLoad* least = nullptr;
    auto load = [](const PartLoad& p) { return p.slots / p.capacity; };
    for (const auto& p : parts) {
        total += p.slots;
        if (p.part == self) {
            mine = &p;
        } else if (p.takes && (!least || load(p) < load(*least))) {
            least = &p;
        }
    }
    if (!mine || !least || total < kMachines * machine_slots * static_cast<double>(parts.size())) {
        return std::nullopt;
    }
    double bound = giving_ ? kEnd : kBegin;
    giving_ = load(*mine) > bound * load(*least);
    if (!giving_ || now < next_ || left_ < 1) {
        return std::nullopt;
    }
    // The largest share after which the giver is not below the taker; of equals the one that goes
    // home.
    const ShareLoad* best = nullptr;
    auto rank = [&](const ShareLoad& s) { return std::pair(s.slots, s.share.home == least->part); };
    for (const auto& s : shares) {
        bool fits = s.settled && (mine->slots - s.slots) / mine->capacity >=
                                     (least->slots + s.slots) / least->capacity;
        if (fits && (!best || rank(s) > rank(*best))) {
            best = &s;
        }
    }
    if (!best || best->slots <= 0) {
        return std::nullopt;
    }
    return MoveChoice{best->share, least->part};
}

} // namespace orchidlanding
