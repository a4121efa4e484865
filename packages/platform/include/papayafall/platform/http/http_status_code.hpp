#pragma once

#include <cstdint>
#include <string_view>

/// HTTP status codes (RFC 9110), as far as this project uses them.
namespace papayafall::http_status_code {

inline constexpr std::uint16_t ok = 200;
inline constexpr std::uint16_t bad_request = 400;
inline constexpr std::uint16_t forbidden = 403;
inline constexpr std::uint16_t not_found = 404;
inline constexpr std::uint16_t method_not_allowed = 405;
inline constexpr std::uint16_t conflict = 409;
inline constexpr std::uint16_t gone = 410;
inline constexpr std::uint16_t precondition_failed = 412;
inline constexpr std::uint16_t misdirected_request = 421;
inline constexpr std::uint16_t too_many_requests = 429;
inline constexpr std::uint16_t bad_gateway = 502;
inline constexpr std::uint16_t service_unavailable = 503;

} // namespace papayafall::http_status_code

namespace papayafall {

/// Returns the standard reason phrase of an HTTP status, or "Unknown".
std::string_view reason_phrase(std::uint16_t status) noexcept;

} // namespace papayafall
