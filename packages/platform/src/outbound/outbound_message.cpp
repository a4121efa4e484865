#include "papayafall/platform/outbound/outbound_message.hpp"

#include <algorithm>

namespace papayafall {

namespace {

char lower(char it) noexcept
{
    return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
}

bool same_name(std::string_view lhs, std::string_view rhs) noexcept
{
    return std::equal(lhs.begin(), lhs.end(), rhs.begin(), rhs.end(),
                      [](char l, char r) { return lower(l) == lower(r); });
}

} // namespace

std::optional<std::string_view> find_header(const outbound_response& response,
                                            std::string_view name)
{
    for (const outbound_header& it : response->headers) {
        if (same_name(it.name, name)) {
            return it.value;
        }
    }
    return std::nullopt;
}

} // namespace papayafall
