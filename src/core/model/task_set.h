// A set of task indices of one job.
#pragma once

#include <cstddef>
#include <cstdint>

#include <roaring/roaring.hh>

namespace scheduler {

// A compressed bitmap, iterated in ascending order. Takes about one bit per task of a large job,
// where a tree takes some 50 bytes.
class TaskSet {
  public:
    TaskSet() = default;
    // Contains all indices below `tasks`.
    explicit TaskSet(std::uint32_t tasks) : size_(tasks) { bits_.addRange(0, tasks); }

    void insert(std::uint32_t task) { size_ += bits_.addChecked(task) ? 1 : 0; }
    void erase(std::uint32_t task) { size_ -= bits_.removeChecked(task) ? 1 : 0; }
    bool contains(std::uint32_t task) const { return bits_.contains(task); }
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    // Returns the lowest index. The set must not be empty.
    std::uint32_t first() const { return bits_.minimum(); }
    Roaring::const_iterator begin() const { return bits_.begin(); }
    Roaring::const_iterator end() const { return bits_.end(); }

  private:
    Roaring bits_;
    std::size_t size_ = 0; // cached, because the bitmap counts its bits on each call
};

} // namespace scheduler
