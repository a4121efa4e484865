#pragma once

#include "deployment.hpp"

namespace review {

/// @param disrupted false: the same without the disruption
using case_function = verdict (*)(deployment& system, bool disrupted);

verdict cancel_at_other_daemon(deployment& system, bool disrupted);
verdict cancel_after_route_change(deployment& system, bool disrupted);
verdict copy_after_cancel(deployment& system, bool disrupted);
verdict request_after_partition(deployment& system, bool disrupted);
verdict label_after_restart(deployment& system, bool disrupted);

} // namespace review
