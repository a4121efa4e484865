#pragma once

#include "papayafall/platform/store/platform_result.hpp"

#include <QEventLoop>

#include <optional>
#include <utility>

namespace papayafall {

/// Blocks in an event loop of the calling thread until the result of a call arrives.
/// @param call callable that takes a `platform_reply<Value>` and starts the call
/// @throws platform_call_error if the call fails
template <typename Value, typename Call>
Value await(Call&& call)
{
    QEventLoop loop;
    std::optional<platform_result<Value>> result;
    std::forward<Call>(call)([&](const platform_result<Value>& it) {
        result.emplace(it);
        loop.quit();
    });
    if (!result) {
        loop.exec();
    }
    if (!result) {
        throw platform_call_error(
            {error_id::platform_unavailable, write_effect::may_have_been_applied,
             "the process is shutting down; no longer waiting for the platform's response"});
    }
    if (const auto* failure = std::get_if<platform_failure>(&*result)) {
        throw platform_call_error(*failure);
    }
    return std::get<Value>(std::move(*result));
}

} // namespace papayafall
