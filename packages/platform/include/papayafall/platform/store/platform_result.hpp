#pragma once

#include "papayafall/core/errors/exception.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace papayafall {

/// Whether a failed call may have changed data in the platform's service.
enum class write_effect : std::uint8_t {
    not_applied,           ///< nothing was changed; always the case for reads
    may_have_been_applied, ///< the write may have been applied, or may still be
};

/// Returns the name of `effect`: "not_applied" or "may_have_been_applied".
std::string_view to_string(write_effect effect) noexcept;

/// Reason and possible effect of a failed call to the platform's service.
struct platform_failure {
    error_id id = error_id::platform_unavailable;
    write_effect effect = write_effect::not_applied;
    std::string detail;

    auto operator<=>(const platform_failure&) const = default;
};

/// Exception that carries a `platform_failure`.
class platform_call_error : public platform_error {
  public:
    explicit platform_call_error(const platform_failure& failure);

    write_effect effect() const noexcept { return effect_; }

  private:
    write_effect effect_;
};

/// Result of a call to the platform's service.
template <typename Value>
using platform_result = std::variant<Value, platform_failure>;

/// Callback for a result. It is called from the event loop of the calling thread, exactly once
/// unless the call is cancelled or the service object is destroyed first.
template <typename Value>
using platform_reply = std::function<void(const platform_result<Value>&)>;

} // namespace papayafall
