#include "papayafall/platform/http/http_key_value_store.hpp"

#include "consul_json.hpp"

#include <QUrl>

#include <algorithm>
#include <utility>

namespace papayafall {

namespace {

std::string kv_path(const std::string& key)
{
    const QByteArray encoded = QUrl::toPercentEncoding(QString::fromStdString(key), "/");
    return "/v1/kv/" + encoded.toStdString();
}

std::string condition_query(const put_condition& condition)
{
    if (std::holds_alternative<put_if_absent>(condition)) {
        return "?cas=0";
    }
    if (const auto* it = std::get_if<put_if_unchanged>(&condition)) {
        return "?cas=" + std::to_string(it->index.value());
    }
    return "";
}

/// Makes a reply that decodes the HTTP response with `decode`. Failures are passed on, and a
/// `platform_error` thrown by `decode` becomes a failure.
template <typename Value, typename Decode>
platform_reply<platform_http_response> decode_response(platform_reply<Value> reply, Decode decode)
{
    return
        [reply = std::move(reply), decode](const platform_result<platform_http_response>& result) {
            if (const auto* failure = std::get_if<platform_failure>(&result)) {
                reply(*failure);
                return;
            }
            platform_result<Value> value;
            try {
                value = decode(std::get<platform_http_response>(result));
            } catch (const platform_error& it) {
                value = platform_failure{error_id::platform_protocol,
                                         write_effect::may_have_been_applied, it.what()};
            }
            reply(value);
        };
}

/// Determines the outcome of a conditional write from the key's value after the write.
/// @param first_result result of the write; returned if the value does not decide the outcome
platform_result<put_outcome>
resolve_after_read_back(const put_request& request,
                        const platform_result<put_outcome>& first_result,
                        const std::optional<stored_value>& found)
{
    if (found && found->data == request.data) {
        return put_outcome::applied;
    }
    // The key exists with another writer's data, so a create-only write can no longer be applied.
    if (found && std::holds_alternative<put_if_absent>(request.condition)) {
        return put_outcome::refused;
    }
    return first_result;
}

bool needs_read_back(const put_request& request, const platform_result<put_outcome>& result)
{
    if (std::holds_alternative<put_always>(request.condition)) {
        return false;
    }
    if (const auto* failure = std::get_if<platform_failure>(&result)) {
        return failure->effect == write_effect::may_have_been_applied;
    }
    return std::get<put_outcome>(result) == put_outcome::refused;
}

} // namespace

http_key_value_store::http_key_value_store(http_platform_options options, const clock_source& clock)
    : client_(std::move(options)), clock_(&clock)
{
}

void http_key_value_store::get(const std::string& key, platform_reply<read_result> reply)
{
    client_.send({.path = kv_path(key)},
                 decode_response<read_result>(std::move(reply), detail::decode_read));
}

store_call http_key_value_store::watch(const std::string& key, modify_index after,
                                       time_point wait_until, platform_reply<read_result> reply)
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(duration::zero(), wait_until - clock_->read().steady));
    constexpr int wait_jitter_divisor = 16; // the service adds up to 1/16 of the wait as jitter
    platform_http_request request{.path = kv_path(key), .is_watch = true};
    if (after != modify_index()) {
        request.path += "?index=" + std::to_string(after.value()) +
                        "&wait=" + std::to_string(wait.count()) + "ms";
        request.server_hold_time = wait + wait / wait_jitter_divisor;
    }
    return client_.send(request,
                        decode_response<read_result>(std::move(reply), detail::decode_read));
}

void http_key_value_store::cancel(store_call call)
{
    client_.cancel(call);
}

void http_key_value_store::list(const std::string& prefix,
                                platform_reply<std::vector<stored_value>> reply)
{
    client_.send({.path = kv_path(prefix) + "?recurse"},
                 decode_response<std::vector<stored_value>>(std::move(reply), detail::decode_list));
}

void http_key_value_store::index(const std::string& prefix, platform_reply<modify_index> reply)
{
    // With the separator, the service returns the common prefix instead of every key under it.
    const std::string parent = prefix.ends_with('/') ? prefix.substr(0, prefix.size() - 1) : prefix;
    client_.send({.path = kv_path(parent) + "?keys&separator=/"},
                 decode_response<modify_index>(std::move(reply), detail::decode_index));
}

void http_key_value_store::put(const put_request& request, platform_reply<put_outcome> reply)
{
    auto resolve = [this, request,
                    reply = std::move(reply)](const platform_result<put_outcome>& result) {
        if (!needs_read_back(request, result)) {
            reply(result);
            return;
        }
        read_back(request, result, reply);
    };
    client_.send(
        {.method = http_method::put,
         .path = kv_path(request.key) + condition_query(request.condition),
         .body = request.data},
        decode_response<put_outcome>(std::move(resolve), [](const platform_http_response& it) {
            return detail::decode_boolean(it) ? put_outcome::applied : put_outcome::refused;
        }));
}

void http_key_value_store::read_back(const put_request& request,
                                     const platform_result<put_outcome>& first_result,
                                     const platform_reply<put_outcome>& reply)
{
    get(request.key, [request, first_result, reply](const platform_result<read_result>& result) {
        if (const auto* failure = std::get_if<platform_failure>(&result)) {
            reply(platform_failure{failure->id, write_effect::may_have_been_applied,
                                   failure->detail});
            return;
        }
        reply(resolve_after_read_back(request, first_result, std::get<read_result>(result).found));
    });
}

void http_key_value_store::erase(const std::string& key, platform_reply<put_outcome> reply)
{
    client_.send(
        {.method = http_method::remove, .path = kv_path(key)},
        decode_response<put_outcome>(std::move(reply), [](const platform_http_response& it) {
            return detail::decode_boolean(it) ? put_outcome::applied : put_outcome::refused;
        }));
}

void http_key_value_store::open_session(const std::string& name, std::chrono::milliseconds ttl,
                                        platform_reply<session_id> reply)
{
    client_.send({.method = http_method::put,
                  .path = "/v1/session/create",
                  .body = detail::encode_session(name, ttl)},
                 decode_response<session_id>(std::move(reply), detail::decode_session));
}

void http_key_value_store::renew_session(const session_id& session,
                                         platform_reply<session_status> reply)
{
    client_.send(
        {.method = http_method::put, .path = "/v1/session/renew/" + session.text()},
        decode_response<session_status>(std::move(reply), [](const platform_http_response& it) {
            return detail::is_not_found(it) ? session_status::ended : session_status::alive;
        }));
}

void http_key_value_store::destroy_session(const session_id& session,
                                           platform_reply<session_status> reply)
{
    client_.send(
        {.method = http_method::put, .path = "/v1/session/destroy/" + session.text()},
        decode_response<session_status>(
            std::move(reply), [](const platform_http_response&) { return session_status::ended; }));
}

void http_key_value_store::acquire(const lock_request& request, platform_reply<lock_outcome> reply)
{
    lock(request, "acquire", std::move(reply));
}

void http_key_value_store::release(const lock_request& request, platform_reply<lock_outcome> reply)
{
    lock(request, "release", std::move(reply));
}

void http_key_value_store::lock(const lock_request& request, const char* operation,
                                platform_reply<lock_outcome> reply)
{
    client_.send(
        {.method = http_method::put,
         .path = kv_path(request.key) + "?" + operation + "=" + request.session.text(),
         .body = request.data},
        decode_response<lock_outcome>(std::move(reply), [](const platform_http_response& it) {
            return detail::decode_boolean(it) ? lock_outcome::granted : lock_outcome::refused;
        }));
}

} // namespace papayafall
