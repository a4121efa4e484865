#include "papayafall/daemon/kept/connection_group.hpp"

#include <algorithm>
#include <utility>

namespace papayafall {

connection_group::connection_group(endpoint address, const http_limits& limits,
                                   std::size_t most_connections)
    : address_(std::move(address)), limits_(limits), most_connections_(most_connections)
{
}

void connection_group::send(http_request_message request, time_point give_up_at,
                            kept_connection::handler handle)
{
    waiting_call call{
        .request = std::move(request), .give_up_at = give_up_at, .handle = std::move(handle)};
    kept_connection* const connection = free_connection();
    if (connection == nullptr) {
        waiting_.push_back(std::move(call));
        return;
    }
    dispatch(*connection, std::move(call));
}

void connection_group::on_tick(time_point now)
{
    for (kept_connection& it : connections_) {
        it.on_tick(now);
    }
    while (!waiting_.empty() && waiting_.front().give_up_at <= now) {
        const waiting_call call = std::move(waiting_.front());
        waiting_.pop_front();
        call.handle({.error = exchange_error::timed_out});
    }
}

void connection_group::close()
{
    for (std::deque<waiting_call> dropped = std::exchange(waiting_, {});
         const waiting_call& it : dropped) {
        it.handle({.error = exchange_error::broken});
    }
    for (kept_connection& it : connections_) {
        it.close();
    }
}

kept_connection* connection_group::free_connection()
{
    kept_connection* found = nullptr;
    for (kept_connection& it : connections_) {
        if (!it.idle()) {
            continue;
        }
        if (it.open()) {
            return &it;
        }
        found = &it;
    }
    if (found == nullptr && connections_.size() < most_connections_) {
        found = &connections_.emplace_back(address_, limits_);
    }
    return found;
}

void connection_group::dispatch(kept_connection& connection, waiting_call call)
{
    connection.send(call.request, call.give_up_at,
                    [this, handle = std::move(call.handle)](const exchange_result& result) {
                        handle(result);
                        next_call();
                    });
}

void connection_group::next_call()
{
    if (waiting_.empty()) {
        return;
    }
    kept_connection* const connection = free_connection();
    if (connection == nullptr) {
        return;
    }
    waiting_call call = std::move(waiting_.front());
    waiting_.pop_front();
    dispatch(*connection, std::move(call));
}

} // namespace papayafall
