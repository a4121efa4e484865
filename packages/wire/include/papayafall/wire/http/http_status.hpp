#pragma once

#include "papayafall/core/errors/error_id.hpp"

#include <cstdint>

namespace papayafall {

/// HTTP status with which a failure is told to a caller.
std::uint16_t http_status(error_id id) noexcept;

} // namespace papayafall
