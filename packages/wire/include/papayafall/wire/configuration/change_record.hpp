#pragma once

#include "papayafall/core/values/change_origin.hpp"
#include "papayafall/core/values/configuration.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayafall {

/// Change that an operator wants (the intent): canonical text of a JSON merge patch (RFC 7396) for
/// the configuration.
class intent_document {
  public:
    intent_document() : text_("{}") {}

    /// @throws configuration_error if `text` is not a JSON object
    static intent_document parse(std::string_view text);

    /// JSON without white space and with sorted keys.
    const std::string& text() const noexcept { return text_; }

    nlohmann::json json() const { return nlohmann::json::parse(text_); }

    friend auto operator<=>(const intent_document&, const intent_document&) = default;

  private:
    explicit intent_document(std::string text) : text_(std::move(text)) {}

    std::string text_;
};

enum class difference_kind : std::uint8_t { added, changed, removed };

/// Scalar value of the configuration that a plan adds, changes or removes.
struct configuration_difference {
    difference_kind kind = difference_kind::changed;
    std::string path;                  ///< JSON pointer of the value
    std::optional<std::string> before; ///< JSON text; empty for an added value
    std::optional<std::string> after;  ///< JSON text; empty for a removed value

    auto operator<=>(const configuration_difference&) const = default;
};

/// Returns the differences between two configurations except for their revisions, sorted by path.
/// Complexity: linear in the size of both.
std::vector<configuration_difference> compare_configurations(const configuration& before,
                                                             const configuration& after);

struct change_record_fields {
    revision_id revision;
    revision_id base;
    plan_id plan;
    operator_name author;
    wall_time confirmed_at{};
    intent_document intent;
    std::vector<configuration_difference> differences;

    auto operator<=>(const change_record_fields&) const = default;
};

/// Confirmed change of the configuration. The records form the audit trail.
using change_record = value<change_record_fields>;

struct pending_plan_fields {
    plan_id plan;
    revision_id base;
    operator_name author;
    wall_time made_at{};
    intent_document intent;

    auto operator<=>(const pending_plan_fields&) const = default;
};

/// Planned change that has not been confirmed yet.
using pending_plan = value<pending_plan_fields>;

/// Returns the plan of the change and the operator who confirmed it.
change_origin origin_of(const change_record& record);

/// Returns the name of `kind` in JSON: "added", "changed" or "removed".
std::string_view to_string(difference_kind kind) noexcept;

/// Encodes a difference with its values as JSON, not as text.
nlohmann::json encode_difference(const configuration_difference& it);

std::string encode_change_record(const change_record& record);

/// @throws configuration_error with the JSON pointer of the first error
change_record decode_change_record(std::string_view text);

std::string encode_pending_plan(const pending_plan& plan);

/// @throws configuration_error with the JSON pointer of the first error
pending_plan decode_pending_plan(std::string_view text);

} // namespace papayafall
