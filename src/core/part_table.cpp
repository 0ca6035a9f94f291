#include "core/part_table.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/parts.h"

namespace orchidlanding {

namespace {
constexpr std::string_view kHomeEnd = "/home";
constexpr std::string_view kSharesEnd = "/shares";
constexpr int kConditionsPerOp = 4; // of a transaction, by the protocol
} // namespace

PartTable::PartTable(const Facts& facts) : facts_(facts), parts_(facts.parts.size()) {}

std::string PartTable::home_key(int part) { return part_key(part) + std::string(kHomeEnd); }
std::string PartTable::shares_key(int home) { return part_key(home) + std::string(kSharesEnd); }

bool PartTable::valid(int home, const ShareRecord& record) const {
    return static_cast<int>(record.holders.size()) == shares_at(facts_, home) &&
           std::all_of(record.holders.begin(), record.holders.end(),
                       [&](int holder) { return holder >= 0 && holder < count(); });
}

bool PartTable::take(const CallReply& reply, Calls& calls) {
    std::vector<Part> parts(parts_.size());
    Holders holders;
    std::map<int, std::uint64_t> versions;
    std::map<int, std::uint64_t> fenced;
    bool readable = !reply.more;
    auto unreadable = [&](const KeyedRecord& item) {
        if (std::exchange(said_[item.key], item.version) != item.version) {
            calls.log(Level::error, "event=unreadable_record key=" + item.key);
        }
    };
    for (const auto& item : reply.items) {
        std::string_view rest = std::string_view(item.key).substr(sizeof(kPrefix) - 1);
        std::size_t p = parts.size();
        auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), p);
        std::string_view kind(end, static_cast<std::size_t>(rest.data() + rest.size() - end));
        bool known = error == std::errc() && p < parts.size();
        if (known && kind == kSharesEnd) {
            const auto* record = std::get_if<ShareRecord>(&item.record);
            int home = static_cast<int>(p);
            versions[home] = item.version;
            if (record && valid(home, *record)) {
                holders[home] = record->holders;
            } else {
                unreadable(item);
                fenced[home] = item.version;
            }
            continue;
        }
        const auto* record = std::get_if<PartRecord>(&item.record);
        if (!known || !record || (!kind.empty() && kind != kHomeEnd)) {
            unreadable(item);
            readable = readable && !known;
        } else if (kind == kHomeEnd) {
            parts[p].home_waits = true;
        } else {
            parts[p].node = record->node;
            parts[p].version = item.version;
            parts[p].knows_shares = record->knows_shares;
        }
    }
    if (!readable) {
        return false;
    }
    for (int home = 0; home < count(); ++home) {
        if (fenced.contains(home)) {
            if (auto before = holders_.find(home); before != holders_.end()) {
                holders[home] = before->second; // nobody can have changed it validly since
            }
        } else if (!holders.contains(home)) {
            holders[home].assign(static_cast<std::size_t>(shares_at(facts_, home)), home);
        }
    }
    parts_ = std::move(parts);
    holders_ = std::move(holders);
    versions_ = std::move(versions);
    fenced_ = std::move(fenced);
    revision_ = reply.revision;
    return true;
}

void PartTable::claimed(int part, const std::string& node, std::uint64_t version) {
    Part& p = parts_[static_cast<std::size_t>(part)];
    p.node = node;
    p.version = version;
    p.knows_shares = true;
}

void PartTable::moved(const ShareId& share, int to, std::uint64_t revision) {
    auto home = holders_.find(share.home);
    if (revision > revision_ && home != holders_.end()) {
        home->second[static_cast<std::size_t>(share.number)] = to;
        versions_[share.home] = revision;
    }
}

int PartTable::holder(const ShareId& share) const {
    auto home = holders_.find(share.home);
    return home == holders_.end() ? -1 : home->second[static_cast<std::size_t>(share.number)];
}

bool PartTable::may_change(int txn_ops) const {
    bool fits = count() + txn_ops <= kConditionsPerOp * txn_ops;
    return fits && revision_ > 0 && std::all_of(parts_.begin(), parts_.end(), [](const Part& p) {
               return p.version == 0 || p.knows_shares;
           });
}

std::vector<Condition> PartTable::unchanged() const {
    std::vector<Condition> all;
    for (int p = 0; p < count(); ++p) {
        all.push_back({part_key(p), at(p).version});
    }
    return all;
}

void PartTable::change(Txn& txn, int home, std::vector<int> holders) const {
    auto version = versions_.find(home);
    txn.when.push_back({shares_key(home), version == versions_.end() ? 0 : version->second});
    txn.then.push_back({shares_key(home), ShareRecord{std::move(holders)}, {}});
}

} // namespace orchidlanding
