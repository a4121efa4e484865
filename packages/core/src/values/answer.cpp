#include "papayafall/core/values/answer.hpp"

namespace papayafall {

std::string_view to_string(run_state state) noexcept
{
    switch (state) {
    case run_state::not_run:
        return "not_run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace papayafall
