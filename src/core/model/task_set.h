// Task numbers of one job, as a compressed bitmap: about a bit for each task of a large job, where
// a tree takes some 50 bytes. In ascending order.
#pragma once

#include <roaring/roaring.hh>

namespace scheduler {

class TaskSet {
  public:
    TaskSet() = default;
    // All from 0 up to `tasks`.
    explicit TaskSet(std::uint32_t tasks) : size_(tasks) { bits_.addRange(0, tasks); }

    void insert(std::uint32_t task) { size_ += bits_.addChecked(task) ? 1 : 0; }
    void erase(std::uint32_t task) { size_ -= bits_.removeChecked(task) ? 1 : 0; }
    bool contains(std::uint32_t task) const { return bits_.contains(task); }
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    std::uint32_t first() const { return bits_.minimum(); } // of a set that is not empty
    Roaring::const_iterator begin() const { return bits_.begin(); }
    Roaring::const_iterator end() const { return bits_.end(); }

  private:
    Roaring bits_;
    std::size_t size_ = 0; // the bitmap would count it anew each time
};

} // namespace scheduler
