#include "papayafall/daemon/kept/http_connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace papayafall {

http_connection_pool::http_connection_pool(endpoint address, const http_limits& limits,
                                           std::size_t max_connections)
    : address_(std::move(address)), limits_(limits), max_connections_(max_connections)
{
}

void http_connection_pool::send(http_request_message request, time_point deadline,
                                persistent_connection::result_handler handle)
{
    send(waiting_call{
        .request = std::move(request), .deadline = deadline, .handle = std::move(handle)});
}

void http_connection_pool::send_to_process(std::shared_ptr<const process_check> check,
                                           http_request_message request, time_point deadline,
                                           persistent_connection::result_handler handle)
{
    send(waiting_call{.request = std::move(request),
                      .deadline = deadline,
                      .handle = std::move(handle),
                      .check = std::move(check)});
}

void http_connection_pool::send(waiting_call call)
{
    persistent_connection* const connection = find_free_connection();
    if (connection == nullptr) {
        waiting_calls_.push_back(std::move(call));
        return;
    }
    start_call(*connection, std::move(call));
}

void http_connection_pool::on_tick(time_point now)
{
    for (persistent_connection& it : connections_) {
        it.on_tick(now);
    }
    while (!waiting_calls_.empty() && waiting_calls_.front().deadline <= now) {
        const waiting_call call = std::move(waiting_calls_.front());
        waiting_calls_.pop_front();
        call.handle({.error = exchange_error::timed_out});
    }
}

void http_connection_pool::close_idle()
{
    for (persistent_connection& it : connections_) {
        if (it.idle()) {
            it.close();
        }
    }
}

void http_connection_pool::close()
{
    for (std::deque<waiting_call> dropped = std::exchange(waiting_calls_, {});
         const waiting_call& it : dropped) {
        it.handle({.error = exchange_error::broken});
    }
    for (persistent_connection& it : connections_) {
        it.close();
    }
}

persistent_connection* http_connection_pool::find_free_connection()
{
    persistent_connection* found = nullptr;
    for (persistent_connection& it : connections_) {
        if (!it.idle()) {
            continue;
        }
        if (it.open()) {
            return &it;
        }
        found = &it;
    }
    if (found == nullptr && connections_.size() < max_connections_) {
        found = &connections_.emplace_back(address_, limits_);
    }
    return found;
}

void http_connection_pool::start_call(persistent_connection& connection, waiting_call call)
{
    if (call.check != nullptr && connection.process() != call.check->expected()) {
        send_check(connection, std::move(call));
        return;
    }
    connection.send(call.request, call.deadline,
                    [this, handle = std::move(call.handle)](const exchange_result& result) {
                        handle(result);
                        start_next_call();
                    });
}

void http_connection_pool::send_check(persistent_connection& connection, waiting_call call)
{
    const http_request_message request = call.check->request();
    const time_point deadline = call.deadline;
    connection.send(request, deadline,
                    [this, &connection, call = std::move(call)](const exchange_result& result) {
                        if (result.error == exchange_error::none) {
                            connection.set_process(call.check->process_in(result.reply));
                        }
                        if (connection.process() == call.check->expected()) {
                            start_call(connection, call);
                            return;
                        }
                        const bool refused = result.error == exchange_error::refused;
                        call.handle({.error = refused ? exchange_error::refused
                                                      : exchange_error::other_process});
                        start_next_call();
                    });
}

void http_connection_pool::start_next_call()
{
    if (waiting_calls_.empty()) {
        return;
    }
    persistent_connection* const connection = find_free_connection();
    if (connection == nullptr) {
        return;
    }
    waiting_call call = std::move(waiting_calls_.front());
    waiting_calls_.pop_front();
    start_call(*connection, std::move(call));
}

} // namespace papayafall
