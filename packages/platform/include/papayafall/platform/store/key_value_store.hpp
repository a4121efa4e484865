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

/// Identifies a session: a lease at the platform's service under which locks are held.
using session_id = basic_name<struct session_id_tag>;
using modify_index = basic_number<struct modify_index_tag>; ///< increases with each write of a key
using store_call = basic_number<struct store_call_tag>;     ///< a call that can be cancelled

/// Key of the platform's service with its value and lock state.
struct stored_value {
    std::string key;
    std::string data;
    modify_index index;
    /// Number of times that the lock on the key was acquired.
    std::uint64_t lock_count = 0;
    /// Session that holds the lock on the key; empty if it is not locked.
    session_id holder;

    auto operator<=>(const stored_value&) const = default;
};

struct read_result {
    std::optional<stored_value> found;
    /// Index to pass to the next `watch`.
    modify_index index;

    auto operator<=>(const read_result&) const = default;
};

/// Write unconditionally.
struct put_always {
    auto operator<=>(const put_always&) const = default;
};

/// Write only if the key does not exist.
struct put_if_absent {
    auto operator<=>(const put_if_absent&) const = default;
};

/// Write only if the key has not been written since `index`.
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

/// Whether a write was applied or its condition was not met.
enum class put_outcome : std::uint8_t { applied, refused };

/// Whether a session still exists.
enum class session_status : std::uint8_t { alive, ended };

/// Whether a lock was acquired or released, as requested.
enum class lock_outcome : std::uint8_t { granted, refused };

/// Lock on a key, held under a session.
struct lock_request {
    std::string key;
    std::string data; ///< written with the lock
    session_id session;

    auto operator<=>(const lock_request&) const = default;
};

/// Interface to the platform's key-value service. All calls are asynchronous; replies are called
/// from the event loop of the calling thread, never from within a call. Destruction cancels all
/// calls.
class key_value_store {
  public:
    key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;
    virtual ~key_value_store() = default;

    virtual void get(const std::string& key, platform_reply<read_result> reply) = 0;

    /// Reads `key` as soon as it has been written after index `after`, or at `wait_until` at the
    /// latest. The reply may come earlier without a change, so compare its index with `after`.
    virtual store_call watch(const std::string& key, modify_index after, time_point wait_until,
                             platform_reply<read_result> reply) = 0;

    /// Cancels a watch; its reply will not be called.
    virtual void cancel(store_call call) = 0;

    /// Lists all keys that start with `prefix`, in order.
    virtual void list(const std::string& prefix,
                      platform_reply<std::vector<stored_value>> reply) = 0;

    /// Reads the index of the last change of any key that starts with `prefix`. It changes if such
    /// a key is written or removed, and may change otherwise.
    virtual void index(const std::string& prefix, platform_reply<modify_index> reply) = 0;

    /// Writes a key. If the response to a conditional write is lost, the key is read back; the
    /// write counts as applied if the key holds the same data.
    virtual void put(const put_request& request, platform_reply<put_outcome> reply) = 0;

    /// Removes a key, whether or not it exists.
    virtual void erase(const std::string& key, platform_reply<put_outcome> reply) = 0;

    /// Opens a session that expires unless it is renewed within `ttl`. Its locks are released when
    /// it ends.
    virtual void open_session(const std::string& name, std::chrono::milliseconds ttl,
                              platform_reply<session_id> reply) = 0;

    /// Extends the session by its time to live. A session that has ended is not opened again.
    virtual void renew_session(const session_id& session, platform_reply<session_status> reply) = 0;

    virtual void destroy_session(const session_id& session,
                                 platform_reply<session_status> reply) = 0;

    /// Acquires the lock on a key unless another session holds it. Acquiring it again under the
    /// same session succeeds.
    virtual void acquire(const lock_request& request, platform_reply<lock_outcome> reply) = 0;

    /// Releases the lock on a key if the request's session holds it, and writes the data.
    virtual void release(const lock_request& request, platform_reply<lock_outcome> reply) = 0;
};

} // namespace papayafall
