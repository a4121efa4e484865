#pragma once

#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/http/platform_http_client.hpp"
#include "papayafall/platform/store/key_value_store.hpp"

namespace papayafall {

/// Client of the platform's key-value service over Consul's HTTP API: keys under /v1/kv with `cas`,
/// `acquire` and `release`, blocking queries with `index` and `wait`, and sessions. Must be used by
/// a single thread that runs an event loop.
class http_key_value_store : public key_value_store {
  public:
    /// @param clock must outlive this object
    http_key_value_store(http_platform_options options, const clock_source& clock);

    void get(const std::string& key, platform_reply<read_result> reply) override;
    store_call watch(const std::string& key, modify_index after, time_point wait_until,
                     platform_reply<read_result> reply) override;
    void cancel(store_call call) override;
    void list(const std::string& prefix, platform_reply<std::vector<stored_value>> reply) override;
    void index(const std::string& prefix, platform_reply<modify_index> reply) override;
    void put(const put_request& request, platform_reply<put_outcome> reply) override;
    void erase(const std::string& key, platform_reply<put_outcome> reply) override;
    void open_session(const std::string& name, std::chrono::milliseconds ttl,
                      platform_reply<session_id> reply) override;
    void renew_session(const session_id& session, platform_reply<session_status> reply) override;
    void destroy_session(const session_id& session, platform_reply<session_status> reply) override;
    void acquire(const lock_request& request, platform_reply<lock_outcome> reply) override;
    void release(const lock_request& request, platform_reply<lock_outcome> reply) override;

  private:
    void read_back(const put_request& request, const platform_result<put_outcome>& first_result,
                   const platform_reply<put_outcome>& reply);
    void lock(const lock_request& request, const char* operation,
              platform_reply<lock_outcome> reply);

    platform_http_client client_;
    const clock_source* clock_;
};

} // namespace papayafall
