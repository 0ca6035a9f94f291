// The stream on which httplib serves a request that has been read already.
#pragma once

#include <httplib.h>

#include <string>

#include "net/request_reader.h"

namespace scheduler::net {

// The request with the header fields that concern its framing only, as httplib reads it.
std::string canonical_text(const HttpRequest& request);

// Reads from a text, and writes to a socket within a time for the response as a whole.
class BufferedStream : public httplib::Stream {
  public:
    BufferedStream(int socket, std::string text, double write_timeout_s);

    bool is_readable() const override { return true; }
    bool is_writable() const override { return true; }
    ssize_t read(char* buffer, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return socket_; }

  private:
    int socket_;
    std::string text_;
    std::size_t position_ = 0;
    double write_timeout_s_;
    double write_deadline_s_ = 0; // on the steady clock; 0: nothing was written yet
};

} // namespace scheduler::net
