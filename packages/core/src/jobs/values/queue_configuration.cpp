#include "papayafall/core/jobs/values/queue_configuration.hpp"

namespace papayafall::jobs {

const queue_definition* queue_configuration_fields::match(std::string_view hostname,
                                                          std::string_view path) const
{
    const queue_definition* best = nullptr;
    for (const queue_definition& it : queues) {
        if (it.hostname != hostname || !path.starts_with(it.path_prefix)) {
            continue;
        }
        if (best == nullptr || it.path_prefix.size() > best->path_prefix.size()) {
            best = &it;
        }
    }
    return best;
}

const queue_definition* queue_configuration_fields::find(const queue_name& name) const
{
    for (const queue_definition& it : queues) {
        if (it.name == name) {
            return &it;
        }
    }
    return nullptr;
}

} // namespace papayafall::jobs
