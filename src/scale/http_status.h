// The HTTP statuses that the protocol uses.
#pragma once

namespace scheduler::scale {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpCreated = 201;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpGone = 410;
inline constexpr int kHttpMisdirected = 421;
inline constexpr int kHttpUnprocessable = 422;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpUnavailable = 503;

} // namespace scheduler::scale
