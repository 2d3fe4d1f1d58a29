#pragma once

namespace sardineford::http {

// Statuses that are told apart; their meaning is that of the standard.
inline constexpr unsigned StatusOk = 200;
inline constexpr unsigned StatusBadRequest = 400;
inline constexpr unsigned StatusNotFound = 404;
inline constexpr unsigned StatusConflict = 409;
inline constexpr unsigned StatusGone = 410;
inline constexpr unsigned StatusMisdirected = 421;
inline constexpr unsigned StatusTooManyRequests = 429;
/// This and all above: the server says that it failed.
inline constexpr unsigned StatusInternalServerError = 500;
inline constexpr unsigned StatusBadGateway = 502;
inline constexpr unsigned StatusUnavailable = 503;
inline constexpr unsigned StatusGatewayTimeout = 504;

} // namespace sardineford::http
