#include "core/holdings.h"

#include <algorithm>

namespace orchidlanding {

Holdings::News Holdings::follow(Time now) {
    News news;
    std::uint64_t read = table_.revision();
    if (read <= seen_ || read < claim_.term() || read < after_) {
        return news;
    }
    seen_ = read;
    for (const auto& [home, holders] : table_.holders()) {
        if (!table_.readable(home)) {
            continue; // what was read before may be older than the last change: ours stay ours
        }
        for (int number = 0; number < static_cast<int>(holders.size()); ++number) {
            ShareId id{home, number};
            int holder = holders[static_cast<std::size_t>(number)];
            auto mine = shares_.find(id);
            if (holder == claim_.part() && mine == shares_.end()) {
                shares_[id] = {read, now, State::held};
                news.gained.push_back(id);
            } else if (holder != claim_.part() && mine != shares_.end()) {
                shares_.erase(mine);
                news.lost.emplace_back(id, holder);
            }
        }
    }
    return news;
}

const Holdings::Share* Holdings::find(const ShareId& share) const {
    auto it = shares_.find(share);
    return it == shares_.end() ? nullptr : &it->second;
}

bool Holdings::serves(const ShareId& share) const {
    const Share* s = find(share);
    return s && s->state != State::doubt;
}

bool Holdings::gives(const ShareId& share) const {
    const Share* s = find(share);
    return s && s->state == State::held;
}

void Holdings::gave(const ShareId& share, std::uint64_t revision) {
    shares_.erase(share);
    gave_[share] = revision;
    after_ = std::max(after_, revision);
}

bool Holdings::take(Time now, const Given& given) {
    if (given.term != claim_.term() || !known() || given.revision <= seen_ ||
        given.revision <= gave_[given.share] || shares_.contains(given.share)) {
        return false;
    }
    shares_[given.share] = {given.revision, now, State::held};
    after_ = std::max(after_, given.revision);
    return true;
}

} // namespace orchidlanding
