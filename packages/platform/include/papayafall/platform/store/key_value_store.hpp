#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/platform/store/platform_result.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace papayafall {

using session_id = basic_name<struct session_id_tag>;       ///< a lease at the platform's service
using modify_index = basic_number<struct modify_index_tag>; ///< rises with each write of a key
using store_call = basic_number<struct store_call_tag>;     ///< a call that can be cancelled

/// A key of the platform's service with its value.
struct stored_value {
    std::string key;
    std::string data;
    modify_index index;
    /// Number of times that a session took the lock on the key.
    std::uint64_t lock_count = 0;
    /// Session that holds the lock on the key; empty where none does.
    session_id holder;

    auto operator<=>(const stored_value&) const = default;
};

struct read_result {
    std::optional<stored_value> found;
    /// Position to pass to the next `watch`.
    modify_index index;

    auto operator<=>(const read_result&) const = default;
};

/// Write whatever the key holds.
struct put_always {
    auto operator<=>(const put_always&) const = default;
};

/// Write only when the key does not exist.
struct put_if_absent {
    auto operator<=>(const put_if_absent&) const = default;
};

/// Write only when the key was not written since `index`.
struct put_if_unchanged {
    modify_index index;

    auto operator<=>(const put_if_unchanged&) const = default;
};

using put_condition = std::variant<put_always, put_if_absent, put_if_unchanged>;

struct put_request {
    std::string key;
    std::string data; ///< at most 1 MB
    put_condition condition;

    auto operator<=>(const put_request&) const = default;
};

/// Whether the condition of a write held.
enum class put_outcome : std::uint8_t { applied, refused };

/// Whether a session still exists.
enum class session_status : std::uint8_t { alive, ended };

/// Whether a lock was taken or given back.
enum class lock_outcome : std::uint8_t { granted, refused };

/// Lock on a key, held under a session.
struct lock_request {
    std::string key;
    std::string data; ///< written with the lock
    session_id session;

    auto operator<=>(const lock_request&) const = default;
};

/// The platform's key-value service. All calls are asynchronous; the replies come from the event
/// loop of the calling thread and never from inside a call. Destruction cancels all calls.
class key_value_store {
  public:
    key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;
    virtual ~key_value_store() = default;

    virtual void get(const std::string& key, platform_reply<read_result> reply) = 0;

    /// Reads `key` once it was written after `after`, or at `wait_until` at the latest. A reply
    /// before either is possible; the caller compares the index.
    virtual store_call watch(const std::string& key, modify_index after, time_point wait_until,
                             platform_reply<read_result> reply) = 0;

    /// Cancels a watch; its reply is not called any more.
    virtual void cancel(store_call call) = 0;

    /// All keys that start with `prefix`, in order.
    virtual void list(const std::string& prefix,
                      platform_reply<std::vector<stored_value>> reply) = 0;

    /// Position of the last write of any key that starts with `prefix`; it differs from an earlier
    /// one when such a key was written or removed in between, and may differ where none was.
    virtual void index(const std::string& prefix, platform_reply<modify_index> reply) = 0;

    /// Writes a key. A conditional write whose answer was lost is resolved by reading the key
    /// back: a key that holds the same data counts as applied.
    virtual void put(const put_request& request, platform_reply<put_outcome> reply) = 0;

    /// Removes a key, whether or not it exists.
    virtual void erase(const std::string& key, platform_reply<put_outcome> reply) = 0;

    /// Opens a session that ends unless it is renewed within `ttl`; its locks end with it.
    virtual void open_session(const std::string& name, std::chrono::milliseconds ttl,
                              platform_reply<session_id> reply) = 0;

    virtual void renew_session(const session_id& session, platform_reply<session_status> reply) = 0;

    virtual void destroy_session(const session_id& session,
                                 platform_reply<session_status> reply) = 0;

    /// Takes the lock on a key unless another session holds it. Taking it again is granted.
    virtual void acquire(const lock_request& request, platform_reply<lock_outcome> reply) = 0;

    virtual void release(const lock_request& request, platform_reply<lock_outcome> reply) = 0;
};

} // namespace papayafall
