// The source of all random draws of a simulation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace scheduler::test {

// Draws random numbers from a seed. The order of the draws determines how a seed plays.
class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed);

    // Returns a number in [low, high).
    double uniform(double low, double high);
    // Returns true with this probability. Always draws a number.
    bool chance(double probability);
    // Returns true with this probability. Draws no number if it is 0, so that seeds play the same
    // as before this fault was introduced.
    bool fault(double probability) { return probability > 0 && chance(probability); }
    // Returns a number in [0, count).
    std::size_t index(std::size_t count);

    // If `config` is set, draws come from a separate stream during the lifetime of this object. It
    // is used for reads and watches of the quota configuration, so that seeds play the same as
    // before they were introduced.
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
