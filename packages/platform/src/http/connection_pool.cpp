#include "papayafall/platform/http/connection_pool.hpp"

namespace papayafall {

connection_id connection_pool::acquire(const endpoint& server, time_point now)
{
    std::vector<idle_connection>& idle = servers_[server].idle;
    if (!idle.empty() && idle.back().usable_until > now) {
        const connection_id id = idle.back().id;
        idle.pop_back();
        return id;
    }
    idle.clear();
    last_ = last_.next();
    return last_;
}

void connection_pool::release(const endpoint& server, connection_id connection, time_point now)
{
    server_connections& connections = servers_[server];
    if (connection <= connections.renewed_after) {
        return;
    }
    connections.idle.push_back(
        idle_connection{.id = connection, .usable_until = now + idle_limit_});
}

void connection_pool::renew(const endpoint& server)
{
    server_connections& connections = servers_[server];
    connections.idle.clear();
    connections.renewed_after = last_;
}

} // namespace papayafall
