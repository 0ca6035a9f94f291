// Inputs and outputs of the core. The core never waits: it answers an input with what to do.
#pragma once

#include "core/types.h"

namespace orchidlanding {

using RequestId = std::uint64_t;
using CallId = std::uint64_t;

// From users and workers.
struct Submit {
    RequestId request = 0;
    JobSpec spec;
};
struct Poll {
    RequestId request = 0;
    std::string job;
};
struct Cancel {
    RequestId request = 0;
    std::string job;
};
struct ReadyProbe {
    RequestId request = 0;
};
struct WorkerReport {
    RequestId request = 0;
    Report report;
};

// Calls to the state service and to the cloud.
struct Get {
    std::string key;
};
struct Range {
    std::string prefix;
    std::string after;
};
struct Condition {
    std::string key;
    std::uint64_t version = 0;
};
struct Change {
    std::string key;
    std::optional<Record> put; // none: delete
    std::optional<std::uint64_t> lease;
};
struct Txn {
    std::vector<Condition> when;
    std::vector<Change> then;
};
struct Grant {
    double ttl_s = 0;
};
struct Renew {
    std::uint64_t lease = 0;
};
struct Watch {
    std::string prefix;
    std::uint64_t since = 0;
    double wait_s = 0;
};
struct Catalog {};
struct ListHosts {
    std::string after;
};
struct Rent {
    std::string order;
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;
};
struct Release {
    std::vector<std::string> machines;
};
// Direct commands to a worker.
struct Orders {
    std::string machine;
    std::string endpoint;
    std::uint64_t token = 0;
    std::uint64_t session = 0;
    std::vector<Command> commands;
};
using CallBody =
    std::variant<Get, Range, Txn, Grant, Renew, Watch, Catalog, ListHosts, Rent, Release, Orders>;

// The answer to a call; status 0 is no answer at all.
struct CallReply {
    CallId call = 0;
    int status = 0;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
    bool more = false;
    std::vector<KeyedRecord> items; // a watch's deletion has the record Unreadable and `deleted`
    std::vector<std::string> deleted;
    std::vector<std::string> failed;
    std::vector<MachineType> types;
    std::vector<Host> hosts;
    std::vector<std::string> names;
    std::optional<Report> report;
};
struct Tick {};
using Input = std::variant<Tick, Submit, Poll, Cancel, ReadyProbe, WorkerReport, CallReply>;

// Outputs.
struct JobAnswer {
    std::string id;
    std::string stage;
    std::optional<std::uint32_t> done;
    std::optional<std::uint32_t> running;
};
struct ReportAnswer {
    std::uint64_t token = 0;
    std::vector<Command> commands;
};
struct Redirect {
    std::string node; // empty: not known
};
struct Plain {
    std::string text;
};
using AnswerBody = std::variant<Plain, JobAnswer, ReportAnswer, Redirect>;
struct Answer {
    RequestId request = 0;
    int status = 0;
    AnswerBody body;
    double retry_after_s = 0;
};
struct Call {
    CallId id = 0;
    CallBody body;
};
enum class Level { error, info, debug };
struct LogLine {
    Level level = Level::info;
    std::string text;
};
struct Outputs {
    std::vector<Answer> answers;
    std::vector<Call> calls;
    std::vector<LogLine> log;
};

} // namespace orchidlanding
