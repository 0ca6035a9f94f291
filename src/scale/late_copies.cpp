#include "scale/late_copies.h"

#include <utility>

namespace scheduler::scale {

namespace {
constexpr double kEarliest_s = 0.1;
} // namespace

LateCopies::LateCopies(EventLoop& loop, const Options& options, double latest_s, std::uint64_t seed)
    : loop_(loop), share_(options.copies), latest_s_(latest_s), random_(seed) {}

void LateCopies::carried_out(std::function<void()> deliver) {
    if (!std::bernoulli_distribution(share_)(random_)) {
        return;
    }
    double after_s = std::uniform_real_distribution<>(kEarliest_s, latest_s_)(random_);
    loop_.after(after_s, std::move(deliver));
}

} // namespace scheduler::scale
