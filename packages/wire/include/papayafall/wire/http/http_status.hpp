#pragma once

#include "papayafall/core/errors/error_id.hpp"

#include <cstdint>

namespace papayafall {

/// HTTP status of the response that reports a failure to a caller.
std::uint16_t http_status(error_id id) noexcept;

} // namespace papayafall
