#pragma once

#include "papayafall/core/errors/exception.hpp"

#include <utility>

namespace papayafall {

template <typename Value>
class cell;

/// Write access to one cell. Each cell grants it only once.
template <typename Value>
class cell_writer {
  public:
    /// Replaces the value of the cell.
    void put(Value value) { cell_->value_ = std::move(value); }

  private:
    friend class cell<Value>;

    explicit cell_writer(cell<Value>& owner) noexcept : cell_(&owner) {}

    cell<Value>* cell_;
};

/// A section of the blackboard that holds a single immutable value.
template <typename Value>
class cell {
  public:
    cell() = default;

    explicit cell(Value value) : value_(std::move(value)) {}

    cell(const cell&) = delete;
    cell& operator=(const cell&) = delete;
    ~cell() = default;

    /// Returns the only writer of this cell.
    /// @throws ownership_error if the writer was claimed before
    cell_writer<Value> claim()
    {
        if (claimed_) {
            throw ownership_error("a blackboard cell was claimed by a second writer");
        }
        claimed_ = true;
        return cell_writer<Value>(*this);
    }

    const Value& get() const noexcept { return value_; }

    const Value* operator->() const noexcept { return &value_; }

    const Value& operator*() const noexcept { return value_; }

  private:
    friend class cell_writer<Value>;

    Value value_{};
    bool claimed_ = false;
};

} // namespace papayafall
