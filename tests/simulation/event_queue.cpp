#include "simulation/event_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace scheduler::test {

bool EventQueue::Event::operator<(const Event& other) const {
    return std::tie(time, sequence) > std::tie(other.time, other.sequence);
}

void EventQueue::at(Time when, std::function<void()> work) {
    events_.push({std::max(when, now_), ++last_sequence_, std::move(work)});
}

void EventQueue::every(double seconds, std::function<void()> work) {
    after(seconds, [this, seconds, work] {
        work();
        every(seconds, work);
    });
}

void EventQueue::run_until(Time end) {
    while (!events_.empty() && events_.top().time <= end) {
        Event event = events_.top();
        events_.pop();
        now_ = event.time;
        event.work();
    }
    now_ = end;
}

} // namespace scheduler::test
