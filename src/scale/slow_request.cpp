#include "scale/slow_request.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>

#include "scale/libevent_helpers.h"

namespace scheduler::scale {

namespace {
constexpr double kShortestDelay_s = 0.5;
constexpr double kLongestDelay_s = 12;
constexpr double kByteInterval_s = 0.02;

std::string request_text(const HttpClientRequest& request) {
    return request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host + ":" +
           std::to_string(request.port) + "\r\nConnection: close\r\nContent-Type: " + kContentType +
           "\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

// Parses a response that was received until the connection closed; status 0 if it isn't whole.
HttpResponse parse_response(const std::string& text) {
    constexpr std::size_t kStatusAt = sizeof "HTTP/1.1 " - 1;
    constexpr char kRetryAfter[] = "Retry-After: ";
    HttpResponse response;
    response.received = text.size();
    auto head_end = text.find("\r\n\r\n");
    if (head_end == std::string::npos) {
        return response;
    }
    response.status = std::atoi(text.c_str() + kStatusAt);
    response.body = text.substr(head_end + 4);
    auto retry_after = text.find(kRetryAfter);
    if (retry_after < head_end) {
        response.retry_after_s = std::atof(text.c_str() + retry_after + sizeof kRetryAfter - 1);
    }
    return response;
}

// One request on its way; deletes itself after the response has been passed on.
class SlowRequest : public std::enable_shared_from_this<SlowRequest> {
  public:
    SlowRequest(EventLoop& loop, const HttpClientRequest& request, const SlowDelivery& delivery,
                std::function<void(HttpResponse)> on_response)
        : loop_(loop), text_(request_text(request)), delivery_(delivery),
          on_response_(std::move(on_response)) {}
    ~SlowRequest() {
        if (connection_) {
            bufferevent_free(connection_);
        }
    }
    SlowRequest(const SlowRequest&) = delete;
    SlowRequest& operator=(const SlowRequest&) = delete;

    void start(const HttpClientRequest& request) {
        self_ = shared_from_this();
        loop_.after(request.timeout_s, [self = self_] { self->finish(); });
        connection_ = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(connection_, on_readable, nullptr, on_event, this);
        bufferevent_enable(connection_, EV_READ | EV_WRITE);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(std::uint16_t(request.port));
        ::inet_pton(AF_INET, request.host.c_str(), &address.sin_addr);
        bufferevent_socket_connect(connection_, reinterpret_cast<sockaddr*>(&address),
                                   sizeof address);
        send_first_part();
    }

  private:
    static void on_readable(bufferevent*, void* request) {
        auto* self = static_cast<SlowRequest*>(request);
        evbuffer* input = bufferevent_get_input(self->connection_);
        self->received_ += contents(input);
        evbuffer_drain(input, evbuffer_get_length(input));
    }
    static void on_event(bufferevent* connection, short events, void* request) {
        auto* self = static_cast<SlowRequest*>(request);
        if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
            on_readable(connection, request);
            self->loop_.after(0, [self = self->self_] {
                if (self) {
                    self->finish();
                }
            });
        }
    }

    void send_first_part() {
        std::size_t first =
            std::min(text_.size(), std::size_t(delivery_.first_part * double(text_.size())));
        write(first);
        loop_.after(delivery_.delay_s, [self = self_] { self->send_rest(); });
    }
    void send_rest() {
        if (!self_) {
            return;
        }
        switch (delivery_.kind) {
        case SlowDelivery::Kind::in_two_parts: write(text_.size() - sent_); break;
        case SlowDelivery::Kind::byte_by_byte: write_bytes(); break;
        case SlowDelivery::Kind::never_whole: break;
        case SlowDelivery::Kind::closed: finish(); break;
        case SlowDelivery::Kind::reset:
            reset_on_close();
            finish();
            break;
        }
    }
    void write_bytes() {
        if (!self_ || sent_ == text_.size()) {
            return;
        }
        write(1);
        loop_.after(kByteInterval_s, [self = self_] { self->write_bytes(); });
    }
    void write(std::size_t bytes) {
        bufferevent_write(connection_, text_.data() + sent_, bytes);
        sent_ += bytes;
    }
    void reset_on_close() {
        linger abort{1, 0};
        ::setsockopt(bufferevent_getfd(connection_), SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    }
    void finish() {
        if (!self_) {
            return;
        }
        HttpResponse response = parse_response(received_);
        response.sent = sent_;
        bufferevent_free(std::exchange(connection_, nullptr));
        auto self = std::exchange(self_, nullptr);
        on_response_(std::move(response));
    }

    EventLoop& loop_;
    std::string text_;
    SlowDelivery delivery_;
    std::function<void(HttpResponse)> on_response_;
    std::shared_ptr<SlowRequest> self_; // until finished
    bufferevent* connection_ = nullptr;
    std::size_t sent_ = 0;
    std::string received_;
};
} // namespace

std::optional<SlowDelivery> SlowDeliveries::draw() {
    if (!std::bernoulli_distribution(share_)(random_)) {
        return std::nullopt;
    }
    constexpr SlowDelivery::Kind kKinds[] = {
        SlowDelivery::Kind::in_two_parts, SlowDelivery::Kind::in_two_parts,
        SlowDelivery::Kind::byte_by_byte, SlowDelivery::Kind::never_whole,
        SlowDelivery::Kind::closed,       SlowDelivery::Kind::reset};
    SlowDelivery delivery;
    delivery.kind =
        kKinds[std::uniform_int_distribution<std::size_t>(0, std::size(kKinds) - 1)(random_)];
    delivery.first_part = std::uniform_real_distribution<>(0, 1)(random_);
    delivery.delay_s = std::uniform_real_distribution<>(kShortestDelay_s, kLongestDelay_s)(random_);
    return delivery;
}

void send_slowly(EventLoop& loop, const HttpClientRequest& request, const SlowDelivery& delivery,
                 std::function<void(HttpResponse)> on_response) {
    std::make_shared<SlowRequest>(loop, request, delivery, std::move(on_response))->start(request);
}

} // namespace scheduler::scale
