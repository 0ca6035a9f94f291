// A socket that is closed when its owner goes.
#pragma once

#include <unistd.h>

#include <utility>

namespace scheduler::net {

class Socket {
  public:
    Socket() = default;
    explicit Socket(int descriptor) : descriptor_(descriptor) {}
    Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
    Socket& operator=(Socket&& other) noexcept {
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    ~Socket() {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
    }
    int descriptor() const { return descriptor_; }

  private:
    int descriptor_ = -1;
};

} // namespace scheduler::net
