// An HTTP server on the event loop, whose responses may come later.
#pragma once

#include <event2/http.h>

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "scale/event_loop.h"
#include "scale/http_status.h"

namespace scheduler::scale {

// A request as the server received it.
struct HttpServerRequest {
    std::string method; // GET, POST or DELETE; empty: another one
    std::string path;   // decoded
    std::map<std::string, std::string> query;
    std::string body;
    std::string local_host; // the address that it came to
    std::size_t bytes = 0;  // with its headers
};

// Sends the response to one request, now or later, once.
class Responder {
  public:
    explicit Responder(evhttp_request* request) : request_(request) {}
    // Returns the bytes of the response, with its headers.
    std::size_t send(int status, const std::string& body);

  private:
    evhttp_request* request_;
};

// Used by the event loop's thread.
class HttpServer {
  public:
    using Handler = std::function<void(HttpServerRequest, Responder)>;

    HttpServer(EventLoop& loop, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Adds an address. Throws ScaleTestError.
    evhttp_bound_socket* listen(const std::string& host, int port);
    void close(evhttp_bound_socket* socket);

  private:
    static void on_request(evhttp_request* request, void* self);

    Handler handler_;
    evhttp* http_;
};

} // namespace scheduler::scale
