#pragma once

#include "papayafall/cli/command.hpp"
#include "papayafall/core/errors/error_id.hpp"

namespace papayafall {

/// Exit code of `papayafall` for the error `id`.
exit_code exit_code_of(error_id id) noexcept;

} // namespace papayafall
