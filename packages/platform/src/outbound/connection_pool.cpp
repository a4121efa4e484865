#include "papayafall/platform/outbound/connection_pool.hpp"

namespace papayafall {

connection_id connection_pool::acquire(const endpoint& server, time_point now)
{
    std::vector<idle_connection>& idle = idle_[server];
    if (!idle.empty() && idle.back().answered_at + idle_limit_ > now) {
        const connection_id id = idle.back().id;
        idle.pop_back();
        return id;
    }
    idle.clear();
    return acquire_new();
}

connection_id connection_pool::acquire_new()
{
    last_ = last_.next();
    return last_;
}

void connection_pool::release(const endpoint& server, connection_id connection, time_point now)
{
    idle_[server].push_back(idle_connection{.id = connection, .answered_at = now});
}

void connection_pool::renew(const endpoint& server, time_point since)
{
    std::erase_if(idle_[server],
                  [since](const idle_connection& it) { return it.answered_at < since; });
}

} // namespace papayafall
