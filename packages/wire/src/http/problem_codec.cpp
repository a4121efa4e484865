#include "papayafall/wire/http/problem_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace papayafall {

namespace {

using nlohmann::ordered_json;

/// Returns the error name with spaces instead of underscores.
std::string title_of(error_id id)
{
    std::string title(to_string(id));
    std::replace(title.begin(), title.end(), '_', ' ');
    return title;
}

std::optional<duration> time_until_retry(const failure& reason, time_point now)
{
    if (reason.retry_at == no_deadline) {
        return std::nullopt;
    }
    return std::max(reason.retry_at - now, duration::zero());
}

} // namespace

std::string encode_problem(const failure& reason, std::uint16_t status, time_point now)
{
    ordered_json problem{
        {"type", "urn:papayafall:error:" + std::string(to_string(reason.id))},
        {"status", status},
        {"title", title_of(reason.id)},
        {"detail", reason.detail},
        {"id", static_cast<unsigned>(reason.id)},
        {"run", to_string(reason.run)},
    };
    if (const auto wait = time_until_retry(reason, now)) {
        problem["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*wait).count();
    }
    return problem.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::optional<std::chrono::seconds> retry_after(const failure& reason, time_point now)
{
    const auto wait = time_until_retry(reason, now);
    if (!wait) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::seconds>(*wait);
}

} // namespace papayafall
