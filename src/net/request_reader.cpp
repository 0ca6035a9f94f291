#include "net/request_reader.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace scheduler::net {

namespace {
constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024; // and of trailers
constexpr std::size_t kMaxChunkLineBytes = 1024;
constexpr std::string_view kBlanks = " \t";

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x)) ==
               std::tolower(static_cast<unsigned char>(y));
    });
}

std::string_view trim(std::string_view text) {
    auto first = text.find_first_not_of(kBlanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

// Removes the text up to the next `separator` from `text` and returns it without blanks around.
std::string_view take_until(std::string_view& text, std::string_view separators) {
    auto end = text.find_first_of(separators);
    std::string_view taken = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    return trim(taken);
}

bool is_token(std::string_view text) {
    constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [kSymbols](unsigned char c) {
        return std::isalnum(c) || kSymbols.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

std::optional<std::uint64_t> parse_number(std::string_view digits, int base) {
    std::uint64_t number = 0;
    const char* end = digits.data() + digits.size();
    auto [stop, error] = std::from_chars(digits.data(), end, number, base);
    if (digits.empty() || error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return number;
}

// Returns the origin form of a request target in origin or absolute form; empty for other forms.
std::string origin_form(std::string_view target) {
    if (target.starts_with('/')) {
        return std::string(target);
    }
    for (std::string_view scheme : {std::string_view("http://"), std::string_view("https://")}) {
        if (!equals_ignoring_case(target.substr(0, scheme.size()), scheme)) {
            continue;
        }
        std::string_view rest = target.substr(scheme.size());
        auto path = rest.find_first_of("/?");
        if (path == std::string_view::npos) {
            return "/";
        }
        std::string origin(rest[path] == '?' ? "/" : "");
        return origin.append(rest.substr(path));
    }
    return {};
}
} // namespace

RequestReader::State RequestReader::append(std::string_view bytes) {
    while (!bytes.empty() && state_ == State::incomplete) {
        bool in_body = part_ == Part::body || part_ == Part::chunk_data;
        std::size_t used = in_body ? append_body(bytes) : append_line(bytes);
        received_bytes_ += used;
        bytes.remove_prefix(used);
    }
    return state_;
}

bool RequestReader::take_expects_continue() {
    bool body_missing =
        state_ == State::incomplete && (part_ == Part::body || part_ == Part::chunk_size);
    bool expects = expects_continue_ && body_missing;
    expects_continue_ = expects_continue_ && !body_missing;
    return expects;
}

std::optional<std::uint64_t> RequestReader::expected_bytes() const {
    if (head_bytes_ == 0 || !content_length_) {
        return std::nullopt;
    }
    return head_bytes_ + *content_length_;
}

// Adds bytes up to the end of the current line.
std::size_t RequestReader::append_line(std::string_view bytes) {
    auto newline = bytes.find('\n');
    bool ends = newline != std::string_view::npos;
    std::size_t used = ends ? newline + 1 : bytes.size();
    line_bytes_ += used;
    if (line_bytes_ > (part_ == Part::chunk_size ? kMaxChunkLineBytes : kMaxHeadBytes)) {
        fail("head too large");
        return used;
    }
    line_.append(bytes.substr(0, used));
    if (!ends) {
        return used;
    }
    std::string line = std::move(line_);
    line_.clear();
    line.pop_back();
    if (line.ends_with('\r')) {
        line.pop_back();
    }
    if (line.find_first_of(std::string_view("\r\0", 2)) != std::string::npos) {
        fail("control character in a line");
        return used;
    }
    if (part_ == Part::headers && line.empty()) {
        head_bytes_ = received_bytes_ + used;
    }
    handle_line(line);
    return used;
}

std::size_t RequestReader::append_body(std::string_view bytes) {
    std::size_t used =
        static_cast<std::size_t>(std::min<std::uint64_t>(remaining_bytes_, bytes.size()));
    std::size_t room = max_body_bytes_ - request_.body.size();
    request_.body_too_large = request_.body_too_large || used > room;
    request_.body.append(bytes.substr(0, std::min(used, room)));
    remaining_bytes_ -= used;
    if (remaining_bytes_ == 0) {
        finish_body_part();
    }
    return used;
}

void RequestReader::handle_line(std::string_view line) {
    switch (part_) {
    case Part::request_line: handle_request_line(line); break;
    case Part::headers:
        if (line.empty()) {
            finish_head();
        } else {
            handle_header_line(line);
        }
        break;
    case Part::chunk_size: handle_chunk_size(line); break;
    case Part::chunk_end:
        if (line.empty()) {
            part_ = Part::chunk_size;
            line_bytes_ = 0;
        } else {
            fail("chunk longer than its size");
        }
        break;
    case Part::trailers:
        if (line.empty()) {
            state_ = State::complete;
        }
        break;
    default: break;
    }
}

void RequestReader::handle_request_line(std::string_view line) {
    line = trim(line);
    if (line.empty()) {
        return; // empty lines before the request are to be ignored
    }
    auto method_end = line.find_first_of(kBlanks);
    auto version_start = line.find_last_of(kBlanks);
    if (method_end == std::string_view::npos || method_end == version_start) {
        fail("request line");
        return;
    }
    std::string_view version = line.substr(version_start + 1);
    std::string_view target = trim(line.substr(method_end, version_start - method_end));
    request_.method = line.substr(0, method_end);
    request_.target = origin_form(target);
    bool supported = version.size() == 8 && version.starts_with("HTTP/1.") &&
                     std::isdigit(static_cast<unsigned char>(version[7])) != 0;
    if (!is_token(request_.method) || request_.target.empty() || !supported ||
        target.find_first_of(kBlanks) != std::string_view::npos) {
        fail("request line");
        return;
    }
    part_ = Part::headers;
}

void RequestReader::handle_header_line(std::string_view line) {
    if (kBlanks.find(line.front()) != std::string_view::npos) {
        fail("folded header");
        return;
    }
    auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
        fail("header name");
        return;
    }
    handle_header(line.substr(0, colon), trim(line.substr(colon + 1)));
}

void RequestReader::handle_header(std::string_view name, std::string_view value) {
    if (equals_ignoring_case(name, "Content-Length")) {
        handle_content_length(value);
    } else if (equals_ignoring_case(name, "Transfer-Encoding")) {
        handle_transfer_encoding(value);
    } else if (equals_ignoring_case(name, "Expect")) {
        expects_continue_ = expects_continue_ || equals_ignoring_case(value, "100-continue");
    } else if (equals_ignoring_case(name, "Content-Encoding") && !value.empty() &&
               !equals_ignoring_case(value, "identity")) {
        fail("content encoding not supported");
    }
}

// The value may be repeated, in one field or several, as long as all are the same.
void RequestReader::handle_content_length(std::string_view value) {
    do {
        auto length = parse_number(take_until(value, ","), 10);
        if (!length || (content_length_ && *content_length_ != *length)) {
            fail("content length");
            return;
        }
        content_length_ = length;
    } while (!value.empty());
}

void RequestReader::handle_transfer_encoding(std::string_view value) {
    while (!value.empty()) {
        std::string_view coding = take_until(value, ",");
        if (coding.empty()) {
            continue;
        }
        if (chunked_ || !equals_ignoring_case(coding, "chunked")) {
            fail("transfer coding not supported");
            return;
        }
        chunked_ = true;
    }
}

void RequestReader::handle_chunk_size(std::string_view line) {
    auto size = parse_number(take_until(line, ";"), 16);
    if (!size) {
        fail("chunk size");
        return;
    }
    remaining_bytes_ = *size;
    line_bytes_ = 0;
    part_ = *size > 0 ? Part::chunk_data : Part::trailers;
}

void RequestReader::finish_head() {
    line_bytes_ = 0;
    if (chunked_) {
        content_length_.reset();
        part_ = Part::chunk_size;
        return;
    }
    remaining_bytes_ = content_length_.value_or(0);
    part_ = Part::body;
    if (remaining_bytes_ == 0) {
        finish_body_part();
    }
}

void RequestReader::finish_body_part() {
    if (part_ == Part::body) {
        state_ = State::complete;
    } else {
        line_bytes_ = 0;
        part_ = Part::chunk_end;
    }
}

void RequestReader::fail(const char* error) {
    error_ = error;
    state_ = State::unreadable;
}

} // namespace scheduler::net
