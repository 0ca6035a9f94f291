// A small HTTP/1.1 server and client over loopback, with blocking sockets and a thread for each
// connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>

#include "value.h"

namespace standin {

inline double now_s() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline void sleep_s(double s) {
    if (s > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(s));
    }
}

struct Request {
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string> query;
    std::string body;
};
struct Response {
    int status = 200;
    Value body = Value::make_map();
};

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline bool send_all(int fd, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        ssize_t n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            if (n < 0 && errno == EINTR) {
                continue;
            }
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// Reads up to the end of a message with a Content-Length. `buffer` keeps what comes after it.
inline bool read_message(int fd, std::string& buffer, std::string& head, std::string& body,
                         double timeout_s) {
    double until = now_s() + timeout_s;
    std::size_t end = 0;
    std::size_t length = 0;
    bool have_head = false;
    while (true) {
        if (!have_head && (end = buffer.find("\r\n\r\n")) != std::string::npos) {
            have_head = true;
            head = buffer.substr(0, end + 2);
            std::string lower = head;
            for (auto& c : lower) {
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            }
            auto at = lower.find("\r\ncontent-length:");
            length = at == std::string::npos ? 0 : std::strtoul(lower.c_str() + at + 17, nullptr, 10);
        }
        if (have_head && buffer.size() >= end + 4 + length) {
            body = buffer.substr(end + 4, length);
            buffer.erase(0, end + 4 + length);
            return true;
        }
        double left = until - now_s();
        pollfd readable{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&readable, 1, static_cast<int>(left * 1000) + 1) <= 0) {
            return false;
        }
        char chunk[16384];
        ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(n));
    }
}

class Server {
  public:
    using Handler = std::function<Response(const Request&)>;
    explicit Server(Handler handler) : handler_(std::move(handler)) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(0);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(fd_, 256) != 0) {
            throw std::runtime_error("cannot listen");
        }
        socklen_t size = sizeof address;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept_all(); }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    // Closes the listener and all connections, as when the machine behind it ends.
    void close() {
        closed_ = true;
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
        std::lock_guard lock(mutex_);
        for (int fd : open_) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }

  private:
    void accept_all() {
        while (!closed_) {
            int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (closed_) {
                    return;
                }
                sleep_s(0.001);
                continue;
            }
            int yes = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            {
                std::lock_guard lock(mutex_);
                open_.insert(fd);
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd) {
        std::string buffer, head, body;
        while (!closed_ && read_message(fd, buffer, head, body, 600)) {
            Request request = parse(head, body);
            Response response;
            try {
                response = handler_(request);
            } catch (const std::exception& error) {
                response = {400, Value::make_map({{"error", std::string(error.what())}})};
            }
            if (response.status == 0) {
                break; // no answer
            }
            std::string packed = pack(response.body);
            if (!send_all(fd, "HTTP/1.1 " + std::to_string(response.status) +
                                  " X\r\nContent-Type: application/msgpack\r\nContent-Length: " +
                                  std::to_string(packed.size()) + "\r\n\r\n" + packed)) {
                break;
            }
        }
        {
            std::lock_guard lock(mutex_);
            open_.erase(fd);
        }
        ::close(fd);
    }
    static std::string decode(const std::string& text) {
        std::string out;
        for (std::size_t k = 0; k < text.size(); ++k) {
            if (text[k] == '%' && k + 2 < text.size()) {
                out.push_back(static_cast<char>(std::strtol(text.substr(k + 1, 2).c_str(), nullptr, 16)));
                k += 2;
            } else {
                out.push_back(text[k]);
            }
        }
        return out;
    }
    static Request parse(const std::string& head, const std::string& body) {
        Request request;
        auto a = head.find(' ');
        auto b = head.find(' ', a + 1);
        request.method = head.substr(0, a);
        std::string target = head.substr(a + 1, b - a - 1);
        request.body = body;
        auto q = target.find('?');
        request.path = decode(target.substr(0, q));
        while (q != std::string::npos) {
            auto next = target.find('&', q + 1);
            std::string item = target.substr(q + 1, next == std::string::npos ? next : next - q - 1);
            auto equals = item.find('=');
            if (equals != std::string::npos) {
                request.query[decode(item.substr(0, equals))] = decode(item.substr(equals + 1));
            }
            q = next;
        }
        return request;
    }

    Handler handler_;
    int fd_ = -1;
    int port_ = 0;
    std::atomic<bool> closed_ = false;
    std::mutex mutex_;
    std::set<int> open_;
};

struct Answer {
    int status = 0; // 0: none
    Value body;
};

// One request on a connection of its own.
inline Answer call(int port, const std::string& method, const std::string& path, const std::string& body,
                   double timeout_s) {
    Answer answer;
    double until = now_s() + timeout_s;
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return answer;
    }
    sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
        int yes = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        std::string buffer, head, reply;
        if (send_all(fd, method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/msgpack\r\n" +
                             "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body) &&
            read_message(fd, buffer, head, reply, until - now_s())) {
            answer.status = std::atoi(head.c_str() + 9);
            try {
                answer.body = reply.empty() ? Value() : unpack(reply);
            } catch (const std::exception&) {
                answer.status = 0;
            }
        }
    }
    ::close(fd);
    return answer;
}

// Returns a port that is free now and was not returned before, below those that the kernel gives to
// outgoing connections. Called by one thread.
inline int free_port() {
    static std::mt19937 random(std::random_device{}());
    static std::set<int> returned;
    for (int tries = 0; tries < 1000; ++tries) {
        int port = 15000 + static_cast<int>(random() % 16000);
        if (returned.contains(port)) {
            continue;
        }
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(port);
        bool free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (free) {
            returned.insert(port);
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

} // namespace standin
