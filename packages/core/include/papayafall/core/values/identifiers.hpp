#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace papayafall {

/// Immutable textual name; `Tag` distinguishes the types of different kinds of names.
template <typename Tag>
class basic_name {
  public:
    basic_name() = default;

    explicit basic_name(std::string text) : text_(std::move(text)) {}

    const std::string& text() const noexcept { return text_; }

    bool empty() const noexcept { return text_.empty(); }

    friend auto operator<=>(const basic_name&, const basic_name&) = default;

  private:
    std::string text_;
};

/// Immutable numeric identifier; `Tag` distinguishes the types of different kinds of identifiers.
template <typename Tag>
class basic_number {
  public:
    constexpr basic_number() = default;

    constexpr explicit basic_number(std::uint64_t value) noexcept : value_(value) {}

    constexpr std::uint64_t value() const noexcept { return value_; }

    constexpr basic_number next() const noexcept { return basic_number(value_ + 1); }

    friend constexpr auto operator<=>(const basic_number&, const basic_number&) = default;

  private:
    std::uint64_t value_ = 0;
};

using host_name = basic_name<struct host_name_tag>;         ///< an entry host or a worker
using zone_name = basic_name<struct zone_name_tag>;         ///< an availability zone
using target_name = basic_name<struct target_name_tag>;     ///< a back end that runs tasks
using service_name = basic_name<struct service_name_tag>;   ///< a service that operators declared
using team_name = basic_name<struct team_name_tag>;         ///< a team with a quota
using operator_name = basic_name<struct operator_name_tag>; ///< an operator, as author
using plan_id = basic_name<struct plan_id_tag>;             ///< 128-bit hash, 32 hex digits

/// Identifies one run of the daemon process on a host; later runs on the same host have higher
/// numbers.
using incarnation_id = basic_number<struct incarnation_id_tag>;
/// Identifies a configuration revision; 0 means that none is known.
using revision_id = basic_number<struct revision_id_tag>;
/// Identifies a caller's open request at the front end of this process.
using call_id = basic_number<struct call_id_tag>;
/// Identifies a submission known to this process.
using submission_id = basic_number<struct submission_id_tag>;
/// Identifies one attempt to run one task, at a target or through a peer.
using exchange_id = basic_number<struct exchange_id_tag>;
/// Correlates a message to a peer with its answer; unique within the sending incarnation.
using correlation_id = basic_number<struct correlation_id_tag>;

} // namespace papayafall
