// Reads one HTTP/1.1 request (RFC 9112) from bytes that arrive in any parts, in bounded memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace scheduler::net {

// A request that was read whole. Header fields that concern its framing have been applied.
struct HttpRequest {
    std::string method;
    std::string target; // in origin form: a path, and perhaps a query
    std::string body;
    bool body_too_large = false; // it was read whole, but `body` holds only its beginning
};

class RequestReader {
  public:
    // `unreadable`: no server can tell where the request ends, or this one does not support it.
    enum class State { incomplete, complete, unreadable };

    explicit RequestReader(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {}

    // Adds bytes as they arrived; those after the end of the request are ignored.
    State append(std::string_view bytes);
    State state() const { return state_; }
    // True once, if the sender waits for an interim response before it sends the body.
    bool take_expects_continue();
    // The request read, or as far as it is known.
    const HttpRequest& request() const { return request_; }
    HttpRequest take_request() { return std::move(request_); }

    std::size_t received_bytes() const { return received_bytes_; }
    // Bytes that the request has in all, if its head has told so.
    std::optional<std::uint64_t> expected_bytes() const;
    // Bytes held in memory.
    std::size_t held_bytes() const { return line_.capacity() + request_.body.capacity(); }
    // Why the request is unreadable.
    const char* error() const { return error_; }

  private:
    enum class Part { request_line, headers, body, chunk_size, chunk_data, chunk_end, trailers };

    std::size_t append_line(std::string_view bytes);
    std::size_t append_body(std::string_view bytes);
    void handle_line(std::string_view line);
    void handle_request_line(std::string_view line);
    void handle_header_line(std::string_view line);
    void handle_header(std::string_view name, std::string_view value);
    void handle_content_length(std::string_view value);
    void handle_transfer_encoding(std::string_view value);
    void handle_chunk_size(std::string_view line);
    void finish_head();
    void finish_body_part();
    void fail(const char* error);

    const std::size_t max_body_bytes_;
    State state_ = State::incomplete;
    Part part_ = Part::request_line;
    std::string line_; // the current line, as far as it has arrived
    HttpRequest request_;
    std::size_t line_bytes_ = 0; // of all lines of the head, or of those between chunks
    std::size_t received_bytes_ = 0;
    std::size_t head_bytes_ = 0;
    std::uint64_t remaining_bytes_ = 0; // of the body or the current chunk
    std::optional<std::uint64_t> content_length_;
    bool chunked_ = false;
    bool expects_continue_ = false;
    const char* error_ = "";
};

} // namespace scheduler::net
