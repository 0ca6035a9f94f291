#include "core/postbox.h"

#include <algorithm>
#include <utility>

namespace orchidlanding {

namespace {
constexpr char kPrefix[] = "account/";
// Report times that the owner of a part has to call by itself; it calls at once when it can.
constexpr double kPatienceReports = 1;
constexpr double kReadReports = 0.5;         // between two looks for what was written for us
constexpr double kFill = 0.75;               // of a value, by a reckoning that errs
constexpr std::size_t kTxnBytes = 48 * 1024; // of the 64 KiB that a transaction may have

std::size_t size_of(const HeldTask& h) {
    return 64 + h.listed.task.job.size() + h.machine.size() + h.zone.size();
}
constexpr std::size_t kStartBytes = 32;
constexpr std::size_t kShareBytes = 32;
} // namespace

Postbox::Postbox(Claim& claim, const Facts& facts, const PartTable& table, Lending& lending,
                 Borrowing& borrowing, Calls& calls, Part& owner)
    : claim_(claim), facts_(facts), table_(table), lending_(lending), borrowing_(borrowing),
      calls_(calls), owner_(owner) {}

std::string Postbox::key(int part, int holder, std::size_t page) {
    return kPrefix + std::to_string(part) + "/" + std::to_string(holder) + "/" +
           std::to_string(page);
}

void Postbox::tick(Time now) {
    post(now);
    if (owner_.awaits_listings()) {
        if (now - claim_.since() > kPatienceReports * facts_.report_s) {
            read(now);
        }
    } else {
        clear(now);
    }
}

// ---- As a holder of shares ----

void Postbox::post(Time now) {
    for (int part = 0; part < table_.count(); ++part) {
        std::uint64_t term = table_.at(part).version;
        if (part == claim_.part() || term == 0) {
            continue;
        }
        Posting& p = postings_[part];
        if (p.term != term) {
            p = {term, now, {}, 0, false};
        }
        bool unheard = lending_.heard_from(part) < term || !p.pages.empty();
        if (p.done || !unheard || now - p.since < kPatienceReports * facts_.report_s) {
            continue;
        }
        if (p.pages.empty()) {
            if (auto reply = lending_.listing_for(now, part, term)) {
                p.pages = cut(*reply, term);
            }
        }
        if (!p.pages.empty() && !writing_) {
            writing_ = write(now, part, p);
        }
    }
}

std::vector<AccountRecord> Postbox::cut(const ExchangeReply& reply, std::uint64_t for_term) const {
    std::vector<AccountRecord> pages;
    std::size_t room = 0;
    auto most = static_cast<std::size_t>(kFill * facts_.value_kb * 1024);
    auto page_for = [&](std::size_t bytes) -> AccountRecord& {
        if (pages.empty() || room < bytes) {
            pages.push_back({for_term, reply.term, reply.version, 0, {}, {}, {}});
            room = most;
        }
        room -= std::min(room, bytes);
        return pages.back();
    };
    for (const auto& share : *reply.shares) {
        page_for(kShareBytes).shares.push_back(share);
    }
    for (const auto& held : reply.held) {
        page_for(size_of(held)).held.push_back(held);
    }
    for (const auto& id : reply.open) {
        page_for(kStartBytes).open.push_back(id);
    }
    if (pages.empty()) { // it holds no shares; said all the same
        page_for(0);
    }
    for (auto& page : pages) {
        page.pages = static_cast<std::uint32_t>(pages.size());
    }
    return pages;
}

// The next pages that are not written yet. They count only all together, so what becomes of some
// does not matter.
bool Postbox::write(Time now, int part, Posting& p) {
    Txn txn = claim_.guarded();
    txn.when.push_back({part_key(part), p.term});
    auto most = static_cast<std::size_t>(
        std::clamp(calls_.most_changes(StateBudget::Use::user), 1, std::max(1, facts_.txn_ops)));
    most = std::min(
        most, std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(kTxnBytes) /
                                                                (facts_.value_kb * 1024))));
    std::size_t to = std::min(p.pages.size(), p.written + most);
    for (std::size_t i = p.written; i < to; ++i) {
        txn.then.push_back({key(part, claim_.part(), i), p.pages[i], {}});
    }
    return calls_.send_state(
        now, StateBudget::Use::user, std::move(txn),
        [this, part, term = p.term, to](Time, CallReply& reply) {
            writing_ = false;
            Posting& posting = postings_[part];
            if (!claim_.wrote(calls_, reply, "account") || posting.term != term) {
                return; // sent again at the next tick, or of no use any more
            }
            posting.written = to;
            if (to == posting.pages.size()) {
                calls_.log(Level::info, "event=account_posted part=" + std::to_string(part) +
                                            " pages=" + std::to_string(to));
                posting.done = true;
                posting.pages.clear();
            }
        });
}

// ---- As a new owner of jobs ----

void Postbox::read(Time now) {
    if (reading_ || now < next_read_) {
        return;
    }
    next_read_ = now + kReadReports * facts_.report_s;
    std::string prefix = kPrefix + std::to_string(claim_.part()) + "/";
    reading_ = calls_.send_state(now, StateBudget::Use::user, Range{prefix, ""},
                                 [this](Time at, CallReply& reply) {
                                     reading_ = false;
                                     if (reply.status == 200 && !reply.more) {
                                         take(at, reply.items);
                                     }
                                 });
}

void Postbox::take(Time now, const std::vector<KeyedRecord>& items) {
    std::map<int, std::map<std::uint64_t, std::vector<const AccountRecord*>>> found;
    read_.clear();
    for (const auto& item : items) {
        read_.push_back(item.key);
        const auto* page = std::get_if<AccountRecord>(&item.record);
        std::string rest = item.key.substr(sizeof(kPrefix) - 1);
        int holder = std::atoi(rest.substr(rest.find('/') + 1).c_str());
        if (!page || holder >= table_.count()) {
            calls_.log(Level::error, "event=unreadable_record key=" + item.key);
        } else if (page->for_term == claim_.term() && page->term == table_.at(holder).version) {
            found[holder][page->version].push_back(page);
        }
    }
    for (const auto& [holder, versions] : found) {
        const auto& [version, pages] = *versions.rbegin();
        if (pages.size() != pages.front()->pages || taken_[holder] == version) {
            continue; // not whole yet, or taken in before
        }
        taken_[holder] = version;
        ExchangeReply reply;
        reply.term = pages.front()->term;
        reply.version = version;
        reply.settled = reply.clean = reply.full = true;
        reply.shares.emplace();
        for (const auto* page : pages) {
            reply.shares->insert(reply.shares->end(), page->shares.begin(), page->shares.end());
            reply.held.insert(reply.held.end(), page->held.begin(), page->held.end());
            reply.open.insert(reply.open.end(), page->open.begin(), page->open.end());
        }
        calls_.log(Level::info, "event=account_read part=" + std::to_string(claim_.part()) +
                                    " holder=" + std::to_string(holder) +
                                    " tasks=" + std::to_string(reply.held.size()));
        borrowing_.take_posted(now, holder, reply);
        owner_.resume(now);
    }
}

void Postbox::clear(Time now) {
    if (read_.empty()) {
        return;
    }
    Txn txn = claim_.guarded();
    auto most = static_cast<std::size_t>(std::clamp(calls_.most_changes(StateBudget::Use::progress),
                                                    1, std::max(1, facts_.txn_ops)));
    std::size_t n = std::min(most, read_.size());
    for (std::size_t i = 0; i < n; ++i) {
        txn.then.push_back({read_[i], {}, {}});
    }
    // Lost, a key stays until the next listing for the part.
    if (calls_.send_state(now, StateBudget::Use::progress, std::move(txn),
                          [](Time, CallReply&) {})) {
        read_.erase(read_.begin(), read_.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

} // namespace orchidlanding
