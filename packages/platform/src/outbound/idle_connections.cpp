#include "idle_connections.hpp"

#include <vector>

namespace papayafall::detail {

idle_connections::~idle_connections()
{
    close_if([](const outbound_connection&) { return true; });
}

outbound_connection_ptr idle_connections::take(const endpoint& server, time_point now)
{
    close_expired(now);
    for (outbound_connection& it : connections_) {
        if (it.server() == server) {
            return unlink(it);
        }
    }
    return nullptr;
}

void idle_connections::put(const outbound_connection_ptr& connection, time_point now)
{
    connection->last_response_at = now;
    intrusive_ptr_add_ref(connection.get());
    connections_.push_front(*connection);
}

void idle_connections::discard(const endpoint& server, time_point since)
{
    close_if([&](const outbound_connection& it) {
        return it.server() == server && it.last_response_at < since;
    });
}

void idle_connections::close_expired(time_point now)
{
    close_if([&](const outbound_connection& it) {
        return it.is_closed() || it.last_response_at + max_idle_time_ <= now;
    });
}

time_point idle_connections::next_expiry() const noexcept
{
    return connections_.empty() ? no_deadline
                                : connections_.back().last_response_at + max_idle_time_;
}

outbound_connection_ptr idle_connections::unlink(outbound_connection& it)
{
    connections_.erase(connections_.iterator_to(it));
    return {&it, false};
}

void idle_connections::close_if(const std::function<bool(const outbound_connection&)>& condition)
{
    std::vector<outbound_connection_ptr> closed;
    for (outbound_connection& it : connections_) {
        if (condition(it)) {
            closed.emplace_back(&it);
        }
    }
    for (const outbound_connection_ptr& it : closed) {
        unlink(*it)->close();
    }
}

} // namespace papayafall::detail
