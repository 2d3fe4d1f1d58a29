#pragma once

namespace sardineford::http {

// HTTP status codes that the code distinguishes.
inline constexpr unsigned StatusOk = 200;
inline constexpr unsigned StatusBadRequest = 400;
inline constexpr unsigned StatusUnauthorized = 401;
inline constexpr unsigned StatusNotFound = 404;
inline constexpr unsigned StatusConflict = 409;
inline constexpr unsigned StatusGone = 410;
inline constexpr unsigned StatusMisdirected = 421;
inline constexpr unsigned StatusTooManyRequests = 429;
/// Lowest status code of the server errors (5xx).
inline constexpr unsigned StatusInternalServerError = 500;
inline constexpr unsigned StatusBadGateway = 502;
inline constexpr unsigned StatusUnavailable = 503;
inline constexpr unsigned StatusGatewayTimeout = 504;

} // namespace sardineford::http
