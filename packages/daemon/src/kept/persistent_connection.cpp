#include "papayafall/daemon/kept/persistent_connection.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <utility>

namespace papayafall {

namespace {

exchange_error to_exchange_error(exchange_end end)
{
    switch (end) {
    case exchange_end::response:
        return exchange_error::none;
    case exchange_end::refused:
        return exchange_error::refused;
    case exchange_end::lost:
    case exchange_end::too_large:
    case exchange_end::malformed:
        break;
    }
    return exchange_error::broken;
}

} // namespace

persistent_connection::persistent_connection(endpoint address, const http_limits& limits)
    : address_(std::move(address)), limits_(limits)
{
}

persistent_connection::~persistent_connection()
{
    drop_connection();
}

void persistent_connection::send(const http_request_message& request, time_point deadline,
                                 result_handler handle)
{
    ensure(idle(), "a connection carries one call at a time");
    handler_ = std::move(handle);
    deadline_ = deadline;
    if (connection_ == nullptr || connection_->is_closed()) {
        connection_ = new http_connection(address_, limits_);
        process_ = {};
    }
    connection_->send(
        encode_request(request, address_.address + ":" + std::to_string(address_.port)), deadline,
        [this](exchange_end end, const http_reply_message& reply) {
            finish({.error = to_exchange_error(end), .reply = reply});
        });
}

void persistent_connection::on_tick(time_point now)
{
    if (handler_ && now >= deadline_) {
        drop_connection();
        finish({.error = exchange_error::timed_out});
    }
}

void persistent_connection::close()
{
    drop_connection();
    if (handler_) {
        finish({.error = exchange_error::broken});
    }
}

void persistent_connection::finish(const exchange_result& result)
{
    deadline_ = no_deadline;
    const result_handler handle = std::exchange(handler_, nullptr);
    handle(result);
}

void persistent_connection::drop_connection()
{
    if (connection_ != nullptr) {
        connection_->close();
        connection_ = nullptr;
    }
}

} // namespace papayafall
