#include "net/incomplete_connections.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include "core/messaging/user_messages.h"
#include "wire/codec.h"

namespace scheduler::net {

namespace {
constexpr int kEventsPerWait = 64;
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr double kChecksPerTimeout = 20; // how often expired connections are looked for

std::string unavailable_response() {
    std::string body = wire::encode_response(TextBody{"request not read"});
    return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
           "Content-Type: " +
           std::string(wire::kContentType) + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

void send_without_waiting(const Socket& socket, std::string_view text) {
    ::send(socket.descriptor(), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}
} // namespace

void send_unavailable(const Socket& socket) {
    static const std::string response = unavailable_response();
    send_without_waiting(socket, response);
}

IncompleteConnections::IncompleteConnections(ConnectionLimits limits, CompleteHandler on_complete,
                                             DropHandler on_dropped)
    : limits_(limits), on_complete_(std::move(on_complete)), on_dropped_(std::move(on_dropped)),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)), read_buffer_(kReadBytes, 0),
      thread_([this] { run(); }) {}

IncompleteConnections::~IncompleteConnections() { stop(); }

void IncompleteConnections::add(Socket socket) {
    std::lock_guard lock(mutex_);
    if (stopping_) {
        return;
    }
    make_room(1);
    int descriptor = socket.descriptor();
    connections_.push_back(
        {std::move(socket), RequestReader(limits_.max_body_bytes), Clock::now(), 0});
    auto connection = std::prev(connections_.end());
    by_descriptor_[descriptor] = connection;
    epoll_event readable{};
    readable.events = EPOLLIN;
    readable.data.fd = descriptor;
    bool watched = ::epoll_ctl(epoll_.descriptor(), EPOLL_CTL_ADD, descriptor, &readable) == 0;
    if (!watched || connections_.size() + being_served_ > limits_.max_connections) {
        drop(connection, DropReason::no_room);
    }
}

void IncompleteConnections::on_served() {
    std::lock_guard lock(mutex_);
    --being_served_;
}

void IncompleteConnections::stop() {
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    if (thread_.joinable()) {
        thread_.join();
    }
    std::lock_guard lock(mutex_);
    by_descriptor_.clear();
    connections_.clear();
}

void IncompleteConnections::run() {
    const int check_interval_ms =
        static_cast<int>(limits_.request_timeout_s * 1000 / kChecksPerTimeout);
    std::array<epoll_event, kEventsPerWait> events{};
    auto next_check = Clock::now();
    while (true) {
        int count =
            ::epoll_wait(epoll_.descriptor(), events.data(), kEventsPerWait, check_interval_ms);
        for (int i = 0; i < count; ++i) {
            read(events[static_cast<std::size_t>(i)].data.fd);
        }
        if (Clock::now() < next_check) {
            continue;
        }
        next_check = Clock::now() + std::chrono::milliseconds(check_interval_ms);
        std::lock_guard lock(mutex_);
        if (stopping_) {
            return;
        }
        close_expired();
    }
}

// Reads what has arrived on a connection, which may have been closed in the meantime.
void IncompleteConnections::read(int descriptor) {
    std::unique_lock lock(mutex_);
    auto found = by_descriptor_.find(descriptor);
    if (found == by_descriptor_.end()) {
        return;
    }
    auto connection = found->second;
    if (!receive(*connection)) {
        drop(connection, DropReason::closed);
        return;
    }
    switch (connection->reader.state()) {
    case RequestReader::State::unreadable: drop(connection, DropReason::unreadable); break;
    case RequestReader::State::complete: {
        Socket socket = std::move(connection->socket);
        ::epoll_ctl(epoll_.descriptor(), EPOLL_CTL_DEL, descriptor, nullptr);
        HttpRequest request = connection->reader.take_request();
        remove(connection, descriptor);
        ++being_served_;
        lock.unlock();
        on_complete_(std::move(socket), std::move(request));
        break;
    }
    case RequestReader::State::incomplete:
        if (connection->reader.take_expects_continue()) {
            send_without_waiting(connection->socket, "HTTP/1.1 100 Continue\r\n\r\n");
        }
        update_held_bytes(*connection);
        make_room(0);
        break;
    }
}

bool IncompleteConnections::receive(Connection& connection) {
    ssize_t count = ::recv(connection.socket.descriptor(), read_buffer_.data(), read_buffer_.size(),
                           MSG_DONTWAIT);
    if (count < 0) {
        return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }
    connection.reader.append({read_buffer_.data(), static_cast<std::size_t>(count)});
    return count > 0;
}

void IncompleteConnections::update_held_bytes(Connection& connection) {
    std::size_t held_bytes = connection.reader.held_bytes();
    buffered_bytes_ += held_bytes - connection.held_bytes;
    connection.held_bytes = held_bytes;
}

void IncompleteConnections::close_expired() {
    auto latest = Clock::now() - std::chrono::duration_cast<Clock::duration>(
                                     std::chrono::duration<double>(limits_.request_timeout_s));
    while (!connections_.empty() && connections_.front().accepted_at <= latest) {
        drop(connections_.begin(), DropReason::timed_out);
    }
}

void IncompleteConnections::make_room(std::size_t new_connections) {
    auto too_many = [&] {
        return connections_.size() + being_served_ + new_connections > limits_.max_connections;
    };
    while (!connections_.empty() && (too_many() || buffered_bytes_ > limits_.max_buffered_bytes)) {
        drop(connections_.begin(), DropReason::no_room);
    }
}

void IncompleteConnections::drop(Connections::iterator connection, DropReason reason) {
    if (reason != DropReason::closed) {
        send_unavailable(connection->socket);
    }
    DroppedRequest dropped;
    dropped.reason = reason;
    dropped.target = connection->reader.request().target;
    dropped.detail = connection->reader.error();
    dropped.received_bytes = connection->reader.received_bytes();
    dropped.expected_bytes = connection->reader.expected_bytes();
    dropped.waited_s =
        std::chrono::duration<double>(Clock::now() - connection->accepted_at).count();
    on_dropped_(dropped);
    remove(connection, connection->socket.descriptor());
}

void IncompleteConnections::remove(Connections::iterator connection, int descriptor) {
    buffered_bytes_ -= connection->held_bytes;
    by_descriptor_.erase(descriptor);
    connections_.erase(connection);
}

} // namespace scheduler::net
