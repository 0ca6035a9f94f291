#include "core/shares.h"

#include <algorithm>

#include "core/parts.h"

namespace orchidlanding {

namespace {
// A twentieth of the machines at most, and a quarter of a part's own at most.
constexpr int kLeastOfAll = 20;
constexpr int kLeastOfPart = 4;
} // namespace

std::string text_of(const ShareId& share) {
    return std::to_string(share.home) + "/" + std::to_string(share.number);
}

int shares_at(const Facts& facts, int home) {
    const std::string& zone = facts.parts[static_cast<std::size_t>(home)].zone;
    auto beside = static_cast<int>(std::count_if(facts.parts.begin(), facts.parts.end(),
                                                 [&](const auto& p) { return p.zone == zone; }));
    return std::max(kLeastOfPart, (kLeastOfAll + beside - 1) / beside);
}

std::vector<ShareId> all_shares(const Facts& facts) {
    std::vector<ShareId> all;
    for (int home = 0; home < static_cast<int>(facts.parts.size()); ++home) {
        for (int number = 0; number < shares_at(facts, home); ++number) {
            all.push_back({home, number});
        }
    }
    return all;
}

ShareId share_at(const Facts& facts, int home, const std::string& machine) {
    // Another text than any that decides the home, so that the two do not go together.
    std::uint64_t h = hash_of("share/" + machine);
    return {home, static_cast<int>(h % static_cast<std::uint64_t>(shares_at(facts, home)))};
}

ShareId share_of_machine(const Facts& facts, const std::string& machine, const std::string& zone) {
    return share_at(facts, part_of_machine(facts, machine, zone), machine);
}

Holders spread(const Holders& now, int part, const std::vector<int>& takers, std::size_t most) {
    std::map<int, int> held;
    for (int taker : takers) {
        held[taker] = 0;
    }
    for (const auto& [home, holders] : now) {
        for (int holder : holders) {
            if (auto it = held.find(holder); it != held.end()) {
                ++it->second;
            }
        }
    }
    Holders changed;
    for (const auto& [home, holders] : now) {
        if (held.empty() || changed.size() == most ||
            std::find(holders.begin(), holders.end(), part) == holders.end()) {
            continue;
        }
        std::vector<int>& next = changed.emplace(home, holders).first->second;
        for (int& holder : next) {
            if (holder != part) {
                continue;
            }
            auto least =
                std::min_element(held.begin(), held.end(),
                                 [](const auto& a, const auto& b) { return a.second < b.second; });
            holder = least->first;
            ++least->second;
        }
    }
    return changed;
}

} // namespace orchidlanding
