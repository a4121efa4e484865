#pragma once

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/core/values/time.hpp"

#include <boost/intrusive/set.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace papayafall {

template <typename Key, typename Value>
class table;

/// Write access to one table. Each table grants it only once.
template <typename Key, typename Value>
class table_writer {
  public:
    /// Inserts or replaces the value under `key`.
    /// @param deadline  instant from which `table::expired` returns the entry
    /// Complexity: logarithmic in the size of the table.
    void put(const Key& key, Value value, time_point deadline = no_deadline)
    {
        table_->put(key, std::move(value), deadline);
    }

    /// Removes the value under `key`. Returns whether there was one. Complexity: logarithmic.
    bool erase(const Key& key) { return table_->erase(key); }

  private:
    friend class table<Key, Value>;

    explicit table_writer(table<Key, Value>& owner) noexcept : table_(&owner) {}

    table<Key, Value>* table_;
};

/// The keys of one table that were written, for an index that is kept up to date with the table.
/// Each table has at most one.
template <typename Key, typename Value>
class table_changes {
  public:
    /// Returns the keys that were put or erased since the last call, in order, some repeatedly.
    std::vector<Key> take() { return std::exchange(table_->changed_keys_, {}); }

  private:
    friend class table<Key, Value>;

    explicit table_changes(table<Key, Value>& owner) noexcept : table_(&owner) {}

    table<Key, Value>* table_;
};

/// A section of the blackboard that holds immutable values by key, indexed by key and by deadline.
///
/// Only the holder of the `table_writer` can modify the table. Entries are linked into two
/// intrusive trees and reference-counted intrusively. A caller of `find` that needs the value
/// beyond the next change of the entry copies it.
template <typename Key, typename Value>
class table {
  public:
    struct entry : boost::intrusive_ref_counter<entry, boost::thread_unsafe_counter>,
                   boost::intrusive::set_base_hook<boost::intrusive::tag<struct by_key>>,
                   boost::intrusive::set_base_hook<boost::intrusive::tag<struct by_deadline>> {
        entry(Key k, Value v, time_point at) : key(std::move(k)), value(std::move(v)), deadline(at)
        {
        }

        const Key key;
        const Value value;
        const time_point deadline;
    };

  private:
    struct key_of {
        using type = Key;

        const Key& operator()(const entry& it) const noexcept { return it.key; }
    };

    struct deadline_of {
        using type = time_point;

        const time_point& operator()(const entry& it) const noexcept { return it.deadline; }
    };

    using key_index =
        boost::intrusive::set<entry,
                              boost::intrusive::base_hook<boost::intrusive::set_base_hook<
                                  boost::intrusive::tag<struct by_key>>>,
                              boost::intrusive::key_of_value<key_of>>;
    using deadline_index =
        boost::intrusive::multiset<entry,
                                   boost::intrusive::base_hook<boost::intrusive::set_base_hook<
                                       boost::intrusive::tag<struct by_deadline>>>,
                                   boost::intrusive::key_of_value<deadline_of>>;

  public:
    using const_iterator = typename key_index::const_iterator;
    using deadline_iterator = typename deadline_index::const_iterator;

    table() = default;
    table(const table&) = delete;
    table& operator=(const table&) = delete;

    ~table() { clear(); }

    /// Returns the only writer of this table.
    /// @throws ownership_error if the writer was claimed before
    table_writer<Key, Value> claim()
    {
        if (claimed_) {
            throw ownership_error("a blackboard table was claimed by a second writer");
        }
        claimed_ = true;
        return table_writer<Key, Value>(*this);
    }

    /// Records from now on which keys are written.
    /// @throws ownership_error if the changes are recorded for another reader already
    table_changes<Key, Value> follow()
    {
        if (followed_) {
            throw ownership_error("a blackboard table was followed by a second reader");
        }
        followed_ = true;
        return table_changes<Key, Value>(*this);
    }

    /// Returns the value under `key`, or nullptr. Complexity: logarithmic.
    /// The pointer is valid until the value is replaced or erased.
    const Value* find(const Key& key) const
    {
        const auto it = keys_.find(key);
        return it == keys_.end() ? nullptr : &it->value;
    }

    bool contains(const Key& key) const { return keys_.find(key) != keys_.end(); }

    std::size_t size() const noexcept { return keys_.size(); }

    bool empty() const noexcept { return keys_.empty(); }

    /// Iterates over the entries in the order of their keys.
    const_iterator begin() const noexcept { return keys_.begin(); }

    const_iterator end() const noexcept { return keys_.end(); }

    /// Returns the first entry whose key is not less than `key`.
    const_iterator lower_bound(const Key& key) const { return keys_.lower_bound(key); }

    /// Iterates over the entries in the order of their deadlines.
    deadline_iterator earliest() const noexcept { return deadlines_.begin(); }

    deadline_iterator latest_end() const noexcept { return deadlines_.end(); }

    /// Returns the earliest deadline of all entries, or `no_deadline` if there is none.
    time_point next_deadline() const noexcept
    {
        return deadlines_.empty() ? no_deadline : deadlines_.begin()->deadline;
    }

    /// Returns the key of the entry with the earliest deadline if it is not after `now`.
    std::optional<Key> expired(time_point now) const
    {
        if (deadlines_.empty() || deadlines_.begin()->deadline > now) {
            return std::nullopt;
        }
        return deadlines_.begin()->key;
    }

    /// @throws invariant_error if the two indexes differ in size
    void check_invariants() const
    {
        ensure(keys_.size() == deadlines_.size(),
               "both indexes of a table must hold the same entries");
    }

  private:
    friend class table_writer<Key, Value>;
    friend class table_changes<Key, Value>;

    void put(const Key& key, Value value, time_point deadline)
    {
        erase(key);
        boost::intrusive_ptr<entry> it(new entry(key, std::move(value), deadline));
        keys_.insert(*it);
        deadlines_.insert(*it);
        it.detach();
        record_change(key);
    }

    bool erase(const Key& key)
    {
        const auto it = keys_.find(key);
        if (it == keys_.end()) {
            return false;
        }
        const Key erased = it->key; // `key` may be part of the entry
        unlink(*it);
        record_change(erased);
        return true;
    }

    void record_change(const Key& key)
    {
        if (followed_) {
            changed_keys_.push_back(key);
        }
    }

    void unlink(entry& it)
    {
        const boost::intrusive_ptr<entry> last_reference(&it, false);
        keys_.erase(keys_.iterator_to(it));
        deadlines_.erase(deadlines_.iterator_to(it));
    }

    void clear()
    {
        while (!keys_.empty()) {
            unlink(*keys_.begin());
        }
    }

    key_index keys_;
    deadline_index deadlines_;
    std::vector<Key> changed_keys_;
    bool claimed_ = false;
    bool followed_ = false;
};

} // namespace papayafall
