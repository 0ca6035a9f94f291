#include "net/buffered_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

#include "wire/codec.h"

namespace scheduler::net {

namespace {
double now_s() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
} // namespace

std::string canonical_text(const HttpRequest& request) {
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\nConnection: close\r\n";
    if (request.method == "POST") {
        text += "Content-Type: " + std::string(wire::kContentType) +
                "\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n";
    return request.method == "POST" ? text + request.body : text;
}

BufferedStream::BufferedStream(int socket, std::string text, double write_timeout_s)
    : socket_(socket), text_(std::move(text)), write_timeout_s_(write_timeout_s) {}

ssize_t BufferedStream::read(char* buffer, std::size_t size) {
    std::size_t count = text_.copy(buffer, size, position_);
    position_ += count;
    return static_cast<ssize_t>(count);
}

// The time for the response begins with its first write.
ssize_t BufferedStream::write(const char* data, std::size_t size) {
    if (write_deadline_s_ == 0) {
        write_deadline_s_ = now_s() + write_timeout_s_;
    }
    std::size_t written = 0;
    while (written < size) {
        ssize_t count =
            ::send(socket_, data + written, size - written, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count >= 0) {
            written += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        double remaining_s = write_deadline_s_ - now_s();
        pollfd writable{socket_, POLLOUT, 0};
        bool would_block = errno == EAGAIN || errno == EWOULDBLOCK;
        if (!would_block || remaining_s <= 0 ||
            ::poll(&writable, 1, static_cast<int>(remaining_s * 1000)) <= 0) {
            return -1;
        }
    }
    return static_cast<ssize_t>(size);
}

void BufferedStream::get_remote_ip_and_port(std::string& ip, int& port) const {
    ip.clear();
    port = 0;
}

void BufferedStream::get_local_ip_and_port(std::string& ip, int& port) const {
    ip.clear();
    port = 0;
}

} // namespace scheduler::net
