#include "simulation/random_source.h"

#include <utility>

namespace scheduler::test {

RandomSource::RandomSource(std::uint64_t seed) : engine_(seed), config_engine_(seed + 1) {}

double RandomSource::uniform(double low, double high) {
    return std::uniform_real_distribution<>(low, high)(engine_);
}

bool RandomSource::chance(double probability) { return uniform(0, 1) < probability; }

std::size_t RandomSource::index(std::size_t count) { return engine_() % count; }

void RandomSource::swap_streams() { std::swap(engine_, config_engine_); }

RandomSource::ConfigStream::ConfigStream(RandomSource& source, bool config)
    : source_(source), config_(config) {
    if (config_) {
        source_.swap_streams();
    }
}

RandomSource::ConfigStream::~ConfigStream() {
    if (config_) {
        source_.swap_streams();
    }
}

} // namespace scheduler::test
