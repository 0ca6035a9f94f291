#include "core/local_peer_sync.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace scheduler {

namespace {

// The id of the one local request in progress. Ids of requests from the network are lower.
constexpr RequestId kLocalRequestId = 1ULL << 62;

template <typename T> void append(std::vector<T>& to, std::vector<T>& from) {
    std::move(from.begin(), from.end(), std::back_inserter(to));
}

// Moves the response to the local request, if `out` contains it, into `response`.
void take_local_response(Outputs& out, OutboundResponse& response) {
    std::erase_if(out.responses, [&](Response& candidate) {
        if (candidate.request_id != kLocalRequestId) {
            return false;
        }
        response.status = candidate.status;
        if (auto* body = std::get_if<PeerSyncResponse>(&candidate.body)) {
            response.peer_sync = std::move(*body);
        }
        return true;
    });
}

} // namespace

void LocalPeerSync::collect(Time now, Outputs& out) {
    drain_leaders(out);
    while (!pending_requests_.empty()) {
        LocalRequest local = std::move(pending_requests_.front());
        pending_requests_.pop_front();
        deliver(now, local, out);
    }
}

void LocalPeerSync::drain_leaders(Outputs& out) {
    for (auto& [partition, leader] : leaders_) {
        Outputs outputs;
        leader->drain_into(outputs);
        for (auto& request : outputs.requests) {
            const auto* sync = std::get_if<PeerSyncCall>(&request.body);
            if (sync && sync->node == controller_name_) {
                pending_requests_.push_back({partition, std::move(request)});
            } else {
                out.requests.push_back(std::move(request));
            }
        }
        append(out.responses, outputs.responses);
        append(out.log, outputs.log);
    }
}

// If the callee's partition is not led here any more, the caller receives a response with status 0,
// as for a failed connection.
void LocalPeerSync::deliver(Time now, const LocalRequest& local, Outputs& out) {
    const PeerSyncRequest& sync = std::get<PeerSyncCall>(local.request.body).sync;
    OutboundResponse response;
    response.request_id = local.request.id;
    if (auto callee = leaders_.find(sync.to_partition); callee != leaders_.end()) {
        callee->second->handle_peer_sync(now, kLocalRequestId, sync);
        drain_leaders(out);
        take_local_response(out, response);
    }
    if (auto caller = leaders_.find(local.from_partition); caller != leaders_.end()) {
        caller->second->handle_response(now, response);
        drain_leaders(out);
    }
}

} // namespace scheduler
