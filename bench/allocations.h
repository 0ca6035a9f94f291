// Replaces operator new to count every allocation of the process.
#pragma once

#include <atomic>
#include <cstdint>

extern std::atomic<std::uint64_t> allocations;
