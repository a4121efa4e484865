#include "papayafall/platform/outbound/connection_pool.hpp"

namespace papayafall {

connection_id connection_pool::acquire(const endpoint& server, time_point now)
{
    std::vector<idle_connection>& idle = idle_[server];
    if (!idle.empty() && idle.back().last_response_at + max_idle_time_ > now) {
        const connection_id id = idle.back().id;
        idle.pop_back();
        return id;
    }
    idle.clear();
    return acquire_new();
}

connection_id connection_pool::acquire_new()
{
    last_id_ = last_id_.next();
    return last_id_;
}

void connection_pool::release(const endpoint& server, connection_id connection, time_point now)
{
    idle_[server].push_back(idle_connection{.id = connection, .last_response_at = now});
}

void connection_pool::discard_idle(const endpoint& server, time_point since)
{
    std::erase_if(idle_[server],
                  [since](const idle_connection& it) { return it.last_response_at < since; });
}

} // namespace papayafall
