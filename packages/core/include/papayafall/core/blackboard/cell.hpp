#pragma once

#include "papayafall/core/errors/exception.hpp"

#include <utility>

namespace papayafall {

template <typename Value>
class cell;

/// The right to change one cell; a cell gives it out once.
template <typename Value>
class cell_writer {
  public:
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

    /// Gives out the right to change this cell.
    /// @throws ownership_error when it was given out before
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
