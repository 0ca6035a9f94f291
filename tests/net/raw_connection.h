// A TCP connection to a server on loopback that sends exactly the bytes it is given, when asked to.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <string_view>
#include <thread>

namespace scheduler::test {

class RawConnection {
  public:
    explicit RawConnection(int port) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connected_ = ::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    }
    ~RawConnection() { ::close(socket_); }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    bool connected() const { return connected_; }
    // Returns false once the server has closed the connection.
    bool send(std::string_view bytes) {
        while (!bytes.empty()) {
            ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    void close_sending_side() { ::shutdown(socket_, SHUT_WR); }
    // Reads until the server closes the connection, or for `timeout_s` without any data.
    std::string receive_all(double timeout_s) {
        timeval timeout{};
        timeout.tv_sec = static_cast<time_t>(timeout_s);
        timeout.tv_usec = static_cast<suseconds_t>((timeout_s - double(timeout.tv_sec)) * 1e6);
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        std::string received;
        char buffer[4096];
        while (true) {
            ssize_t count = ::recv(socket_, buffer, sizeof buffer, 0);
            if (count <= 0) {
                closed_ = count == 0 || errno == ECONNRESET;
                return received;
            }
            received.append(buffer, static_cast<std::size_t>(count));
        }
    }
    // Whether the last `receive_all` ended because the connection was closed.
    bool closed() const { return closed_; }

  private:
    int socket_;
    bool connected_ = false;
    bool closed_ = false;
};

// Status of the last response in `received`, after any interim ones; 0 if there is none.
inline int final_status(std::string_view received) {
    constexpr std::string_view kVersion = "HTTP/1.1 ";
    int status = 0;
    for (auto at = received.find(kVersion); at != std::string_view::npos;
         at = received.find(kVersion, at + 1)) {
        status = std::atoi(std::string(received.substr(at + kVersion.size(), 3)).c_str());
    }
    return status;
}

inline std::string post(const std::string& path, const std::string& body) {
    return "POST " + path + " HTTP/1.1\r\nHost: n0\r\nContent-Type: application/msgpack\r\n" +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string get(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: n0\r\n\r\n";
}

inline void wait_s(double seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

} // namespace scheduler::test
