// The connections whose request has not arrived whole. One thread waits for all of them, so that a
// slow or silent sender takes a socket and a little memory, but no thread of a handler.
#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <thread>

#include "net/request_reader.h"
#include "net/socket.h"

namespace scheduler::net {

struct ConnectionLimits {
    std::size_t max_connections = 0;    // incomplete ones and those being served
    std::size_t max_buffered_bytes = 0; // of incomplete requests, together
    std::size_t max_body_bytes = 0;
    double request_timeout_s = 0; // from the connection to the end of the request
};

// Why a request was not passed on.
enum class DropReason { timed_out, closed, unreadable, no_room };

// What is known of a request that was not passed on.
struct DroppedRequest {
    DropReason reason = DropReason::timed_out;
    std::string target;
    std::string detail;
    std::size_t received_bytes = 0;
    std::optional<std::uint64_t> expected_bytes;
    double waited_s = 0;
};

class IncompleteConnections {
  public:
    // Called with each whole request, on the waiting thread. It must not block.
    using CompleteHandler = std::function<void(Socket, HttpRequest)>;
    using DropHandler = std::function<void(const DroppedRequest&)>;

    IncompleteConnections(ConnectionLimits limits, CompleteHandler on_complete,
                          DropHandler on_dropped);
    ~IncompleteConnections();
    IncompleteConnections(const IncompleteConnections&) = delete;
    IncompleteConnections& operator=(const IncompleteConnections&) = delete;

    // Waits for the request of an accepted connection. If there are too many connections, the
    // oldest incomplete one is closed; if none is incomplete, the new one is.
    void add(Socket socket);
    // Says that a connection that was passed on is closed.
    void on_served();
    // Closes all connections and ends the waiting thread.
    void stop();

  private:
    using Clock = std::chrono::steady_clock;
    struct Connection {
        Socket socket;
        RequestReader reader;
        Clock::time_point accepted_at;
        std::size_t held_bytes = 0; // as counted in buffered_bytes_
    };
    using Connections = std::list<Connection>;

    void run();
    void read(int descriptor);
    // Returns whether the connection stays.
    bool receive(Connection& connection);
    void update_held_bytes(Connection& connection);
    void close_expired();
    // Closes the oldest connections until so many more fit, and the buffered bytes.
    void make_room(std::size_t new_connections);
    void drop(Connections::iterator connection, DropReason reason);
    void remove(Connections::iterator connection, int descriptor);

    const ConnectionLimits limits_;
    const CompleteHandler on_complete_;
    const DropHandler on_dropped_;
    Socket epoll_;
    std::string read_buffer_; // used by the waiting thread alone
    std::mutex mutex_;
    Connections connections_; // the oldest first
    std::map<int, Connections::iterator> by_descriptor_;
    std::size_t being_served_ = 0;
    std::size_t buffered_bytes_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

// Sends status 503 with Retry-After, as far as that is possible without waiting.
void send_unavailable(const Socket& socket);

} // namespace scheduler::net
