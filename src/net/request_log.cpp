#include "net/request_log.h"

#include <array>
#include <string_view>

#include "wire/codec.h"

namespace scheduler::net {

namespace {
constexpr std::chrono::seconds kSampleInterval{1};
constexpr std::size_t kMaxLoggedTextBytes = 100;
constexpr std::array<const char*, 7> kKindNames{
    "submission", "question", "cancellation", "heartbeat", "readiness", "peer", "other"};
constexpr std::array<const char*, 3> kOriginNames{"core", "codec", "http"};
constexpr std::array<const char*, 4> kReasonNames{"timed_out", "closed", "unreadable", "no_room"};

template <class E, std::size_t N>
const char* name(E value, const std::array<const char*, N>& names) {
    return names.at(static_cast<std::size_t>(value));
}

// Returns text from outside in a form that fits into a line of the log.
std::string quoted(std::string_view text) {
    std::string out = "\"";
    for (char c : text.substr(0, kMaxLoggedTextBytes)) {
        bool printable = c >= ' ' && c <= '~' && c != '"';
        out += printable ? c : '?';
    }
    return out + "\"";
}
} // namespace

RequestKind request_kind(std::string_view target) {
    if (target == wire::kJobsPath) {
        return RequestKind::submission;
    }
    if (target == wire::kReadyPath) {
        return RequestKind::readiness;
    }
    if (target == wire::kHeartbeatPath) {
        return RequestKind::heartbeat;
    }
    if (target.starts_with("/work/")) {
        return target.ends_with("/withdraw") ? RequestKind::cancellation : RequestKind::question;
    }
    return RequestKind::other;
}

RequestLog::RequestLog(std::string listener, double interval_s, WriteLog write)
    : listener_(std::move(listener)), interval_(std::chrono::duration_cast<Clock::duration>(
                                          std::chrono::duration<double>(interval_s))),
      write_(std::move(write)), next_counts_(Clock::now() + interval_), next_sample_(Clock::now()) {
}

void RequestLog::on_answer(RequestKind kind, int status, AnswerOrigin origin) {
    std::lock_guard lock(mutex_);
    ++answers_[{kind, status, origin}];
    if (Clock::now() >= next_counts_) {
        write_counts();
    }
}

void RequestLog::on_refusal(RequestKind kind, int status, AnswerOrigin origin,
                            const std::string& job, const std::string& reason) {
    std::lock_guard lock(mutex_);
    if (may_write_sample()) {
        write("event=request_refused kind=" + std::string(name(kind, kKindNames)) +
              " status=" + std::to_string(status) + " origin=" + name(origin, kOriginNames) +
              " job=" + (job.empty() ? "-" : job) + " reason=" + quoted(reason));
    }
}

void RequestLog::on_dropped(const DroppedRequest& request) {
    std::lock_guard lock(mutex_);
    ++dropped_[request.reason];
    if (!may_write_sample()) {
        return;
    }
    std::string expected =
        request.expected_bytes ? std::to_string(*request.expected_bytes) : std::string("-");
    write("event=request_dropped reason=" + std::string(name(request.reason, kReasonNames)) +
          " target=" + quoted(request.target) +
          " received=" + std::to_string(request.received_bytes) + " expected=" + expected +
          " waited_s=" + std::to_string(request.waited_s) + " detail=" + quoted(request.detail));
}

void RequestLog::write_counts() {
    std::string text = "event=requests_sampled";
    for (const auto& [answer, count] : answers_) {
        text += " " + std::string(name(answer.kind, kKindNames)) + "_" +
                std::to_string(answer.status) + "_" + name(answer.origin, kOriginNames) + "=" +
                std::to_string(count);
    }
    for (const auto& [reason, count] : dropped_) {
        text += " " + std::string(name(reason, kReasonNames)) + "=" + std::to_string(count);
    }
    answers_.clear();
    dropped_.clear();
    next_counts_ = Clock::now() + interval_;
    write(text);
}

bool RequestLog::may_write_sample() {
    if (Clock::now() < next_sample_) {
        return false;
    }
    next_sample_ = Clock::now() + kSampleInterval;
    return true;
}

void RequestLog::write(const std::string& text) const {
    LogLine line;
    line.level = LogLevel::info;
    line.text = text + " listener=" + listener_;
    write_(line);
}

} // namespace scheduler::net
