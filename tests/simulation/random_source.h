// All random draws of a simulation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace scheduler::test {

// Draws random numbers from a seed. The order of the draws is part of how a seed plays.
class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed);

    // A number in [low, high).
    double uniform(double low, double high);
    // True with this probability; draws a number in any case.
    bool chance(double probability);
    // True with this probability; draws no number if it is 0, so that a seed plays as it did
    // before the fault was known.
    bool fault(double probability) { return probability > 0 && chance(probability); }
    // A number in [0, count).
    std::size_t index(std::size_t count);

    // While it lives, draws come from a stream of their own, if `config` says so: reads and
    // watches of the configuration, so that a seed plays as it did before there were any.
    class ConfigStream {
      public:
        ConfigStream(RandomSource& source, bool config);
        ~ConfigStream();
        ConfigStream(const ConfigStream&) = delete;
        ConfigStream& operator=(const ConfigStream&) = delete;

      private:
        RandomSource& source_;
        bool config_;
    };

  private:
    void swap_streams();

    std::mt19937_64 engine_;
    std::mt19937_64 config_engine_;
};

} // namespace scheduler::test
