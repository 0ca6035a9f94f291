// Counts requests by kind, status and origin of the answer, and logs the counts at intervals, with
// a sample of the requests that were not served.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "core/messaging/outputs.h"
#include "net/incomplete_connections.h"

namespace scheduler::net {

enum class RequestKind { submission, question, cancellation, heartbeat, readiness, peer, other };

// What decided on the status of an answer.
enum class AnswerOrigin { core, codec, http };

RequestKind request_kind(std::string_view target);

class RequestLog {
  public:
    using WriteLog = std::function<void(const LogLine&)>;

    // `listener` names the address in the log; counts are logged at most every `interval_s`.
    RequestLog(std::string listener, double interval_s, WriteLog write);

    void on_answer(RequestKind kind, int status, AnswerOrigin origin);
    // A submission, or a question about a job, that got an answer which its user doesn't repeat.
    void on_refusal(RequestKind kind, int status, AnswerOrigin origin, const std::string& job,
                    const std::string& reason);
    void on_dropped(const DroppedRequest& request);

  private:
    using Clock = std::chrono::steady_clock;
    struct Answer {
        RequestKind kind = RequestKind::other;
        int status = 0;
        AnswerOrigin origin = AnswerOrigin::http;
        auto operator<=>(const Answer&) const = default;
    };
    void write_counts();
    // Returns whether a line about a single request may be written now.
    bool may_write_sample();
    void write(const std::string& text) const;

    const std::string listener_;
    const Clock::duration interval_;
    const WriteLog write_;
    std::mutex mutex_;
    std::map<Answer, std::uint64_t> answers_;
    std::map<DropReason, std::uint64_t> dropped_;
    Clock::time_point next_counts_;
    Clock::time_point next_sample_;
};

} // namespace scheduler::net
