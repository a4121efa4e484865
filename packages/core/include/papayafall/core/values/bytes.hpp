#pragma once

#include "papayafall/core/values/value.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace papayafall {

namespace detail {

struct bytes_fields {
    std::string data;

    auto operator<=>(const bytes_fields&) const = default;
};

} // namespace detail

/// Immutable, opaque body of a task or an answer; copies share the storage.
class bytes {
  public:
    bytes() = default;

    explicit bytes(std::string data) : data_(detail::bytes_fields{std::move(data)}) {}

    std::string_view view() const noexcept { return data_->data; }

    std::size_t size() const noexcept { return data_->data.size(); }

    friend auto operator<=>(const bytes&, const bytes&) = default;

  private:
    value<detail::bytes_fields> data_;
};

} // namespace papayafall
