#include "core/calls.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace orchidlanding {

CallId Calls::send(CallBody body, Then then) {
    CallId id = next_++;
    if (const auto* orders = std::get_if<Orders>(&body)) {
        then = [this, machine = orders->machine, then = std::move(then)](Time at,
                                                                         CallReply& reply) {
            if (reply.status != 0) {
                unanswered_.clear();
            } else if (!reply.unsent) {
                unanswered_.insert(machine);
            }
            then(at, reply);
        };
    }
    waiting_.emplace(id, std::move(then));
    out_.calls.push_back({id, std::move(body)});
    return id;
}

bool Calls::send_state(Time now, StateBudget::Use use, CallBody body, Then then) {
    const auto* txn = std::get_if<Txn>(&body);
    if (!budget_.take(now, use, txn ? static_cast<int>(txn->then.size()) : 0)) {
        return false;
    }
    send(std::move(body), [this, then = std::move(then)](Time at, CallReply& reply) {
        if (reply.status == 429) {
            budget_.refused(at);
        }
        then(at, reply);
    });
    return true;
}

bool Calls::answered(Time now, CallReply& reply) {
    auto it = waiting_.find(reply.call);
    if (it == waiting_.end()) {
        return false;
    }
    Then then = std::move(it->second);
    waiting_.erase(it);
    then(now, reply);
    return true;
}

void Calls::answer(RequestId request, int status, AnswerBody body, double retry_after_s) {
    out_.answers.push_back({request, status, std::move(body), retry_after_s});
}

void Calls::log(Level level, std::string text) { out_.log.push_back({level, std::move(text)}); }

void Calls::take(Outputs& out) {
    std::move(out_.answers.begin(), out_.answers.end(), std::back_inserter(out.answers));
    std::move(out_.calls.begin(), out_.calls.end(), std::back_inserter(out.calls));
    std::move(out_.log.begin(), out_.log.end(), std::back_inserter(out.log));
    out_ = {};
}

} // namespace orchidlanding
