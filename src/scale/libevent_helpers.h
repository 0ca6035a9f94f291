// What the event loop, the HTTP server and the HTTP client have in common.
#pragma once

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <sys/time.h>

#include <cstddef>
#include <string>

namespace scheduler::scale {

inline constexpr char kContentType[] = "application/msgpack";

timeval timeval_of(double seconds);
// Bytes that headers take on the wire, with the empty line after them.
std::size_t header_bytes(const evkeyvalq* headers);
// A copy of all that the buffer holds.
std::string contents(evbuffer* buffer);

} // namespace scheduler::scale
