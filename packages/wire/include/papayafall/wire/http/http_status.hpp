#pragma once

#include "papayafall/core/errors/error_id.hpp"

#include <cstdint>

namespace papayafall {

/// Returns the HTTP status code of a response that reports the error `id` to a caller.
std::uint16_t http_status(error_id id) noexcept;

} // namespace papayafall
