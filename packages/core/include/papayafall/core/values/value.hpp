#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <compare>
#include <utility>

namespace papayafall {

/// Immutable value: a reference-counted handle to fields that never change after construction.
///
/// Copies share the fields, so that values can be passed between threads without copying the
/// fields. Values are compared by content. `with` returns a modified copy.
///
/// @tparam Fields  aggregate with `operator<=>`. Its member `void validate() const`, if there is
///                 one, is called on construction and throws if an invariant is violated.
template <typename Fields>
class value {
  public:
    value() : value(Fields{}) {}

    value(Fields fields) : node_(new node(std::move(fields)))
    {
        if constexpr (requires(const Fields& it) { it.validate(); }) {
            node_->fields.validate();
        }
    }

    const Fields* operator->() const noexcept { return &node_->fields; }

    const Fields& operator*() const noexcept { return node_->fields; }

    /// Returns a copy with its fields modified by `change`.
    /// @param change  callable that takes `Fields&`
    template <typename Change>
    value with(Change&& change) const
    {
        Fields copy = node_->fields;
        std::forward<Change>(change)(copy);
        return value(std::move(copy));
    }

    friend bool operator==(const value& lhs, const value& rhs)
    {
        return lhs.node_ == rhs.node_ || *lhs == *rhs;
    }

    friend auto operator<=>(const value& lhs, const value& rhs) { return *lhs <=> *rhs; }

  private:
    struct node : boost::intrusive_ref_counter<node, boost::thread_safe_counter> {
        explicit node(Fields it) : fields(std::move(it)) {}

        const Fields fields;
    };

    boost::intrusive_ptr<const node> node_;
};

} // namespace papayafall
