#pragma once

#include "papayafall/platform/store/key_value_store.hpp"

#include <functional>
#include <utility>

namespace papayafall {

/// Forwards every call to another store, and calls a hook before the next write under a prefix.
class store_decorator : public key_value_store {
  public:
    explicit store_decorator(key_value_store& inner) : inner_(inner) {}

    /// Calls `hook` once, before the next write of a key that starts with `prefix`.
    void before_put(std::string prefix, std::function<void()> hook)
    {
        prefix_ = std::move(prefix);
        hook_ = std::move(hook);
    }

    void get(const std::string& key, platform_reply<read_result> reply) override
    {
        inner_.get(key, std::move(reply));
    }

    store_call watch(const std::string& key, modify_index after, time_point wait_until,
                     platform_reply<read_result> reply) override
    {
        return inner_.watch(key, after, wait_until, std::move(reply));
    }

    void cancel(store_call call) override { inner_.cancel(call); }

    void list(const std::string& prefix, platform_reply<std::vector<stored_value>> reply) override
    {
        inner_.list(prefix, std::move(reply));
    }

    void index(const std::string& prefix, platform_reply<modify_index> reply) override
    {
        inner_.index(prefix, std::move(reply));
    }

    void put(const put_request& wanted, platform_reply<put_outcome> reply) override
    {
        if (hook_ && wanted.key.starts_with(prefix_)) {
            std::exchange(hook_, {})();
        }
        inner_.put(wanted, std::move(reply));
    }

    void erase(const std::string& key, platform_reply<put_outcome> reply) override
    {
        inner_.erase(key, std::move(reply));
    }

    void open_session(const std::string& name, std::chrono::milliseconds ttl,
                      platform_reply<session_id> reply) override
    {
        inner_.open_session(name, ttl, std::move(reply));
    }

    void renew_session(const session_id& session, platform_reply<session_status> reply) override
    {
        inner_.renew_session(session, std::move(reply));
    }

    void destroy_session(const session_id& session, platform_reply<session_status> reply) override
    {
        inner_.destroy_session(session, std::move(reply));
    }

    void acquire(const lock_request& wanted, platform_reply<lock_outcome> reply) override
    {
        inner_.acquire(wanted, std::move(reply));
    }

    void release(const lock_request& wanted, platform_reply<lock_outcome> reply) override
    {
        inner_.release(wanted, std::move(reply));
    }

  private:
    key_value_store& inner_;
    std::string prefix_;
    std::function<void()> hook_;
};

} // namespace papayafall
