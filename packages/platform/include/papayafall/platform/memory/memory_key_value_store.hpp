#pragma once

#include "papayafall/core/blackboard/table.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/store/key_value_store.hpp"

#include <QObject>
#include <QTimer>

namespace papayafall {

/// Whether a key that this process has not locked may have been locked before.
enum class lock_history : std::uint8_t {
    unknown, ///< an earlier process may have locked it: the first lock is counted as the second
    complete ///< no process has locked it before
};

/// In-memory key-value store for a single process. Must be used by a single thread, whose event
/// loop delivers the replies and expires the sessions.
class memory_key_value_store : public key_value_store {
  public:
    /// @param clock must outlive this object
    explicit memory_key_value_store(const clock_source& clock,
                                    lock_history history = lock_history::unknown);

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

    /// Ends every session at once.
    void end_all_sessions();

  private:
    struct pending_watch {
        std::string key;
        modify_index after;
        platform_reply<read_result> reply;
    };

    template <typename Value>
    void post_reply(const platform_reply<Value>& reply, platform_result<Value> result);

    read_result look_up(const std::string& key) const;
    bool condition_holds(const put_request& request) const;
    void write(stored_value entry);
    void notify_watches(const std::string& key);
    void end_session(const session_id& session);
    void process_expirations();
    void schedule();

    const clock_source* clock_;
    lock_history history_;
    QObject context_;
    QTimer timer_;
    table<std::string, stored_value> entries_;
    table<std::string, modify_index> erased_indexes_;
    table<session_id, std::chrono::milliseconds> sessions_;
    table<store_call, pending_watch> watches_;
    table_writer<std::string, stored_value> entries_writer_;
    table_writer<std::string, modify_index> erased_indexes_writer_;
    table_writer<session_id, std::chrono::milliseconds> sessions_writer_;
    table_writer<store_call, pending_watch> watches_writer_;
    modify_index last_index_{1};
    store_call last_call_;
    std::uint64_t last_session_number_ = 0;
};

} // namespace papayafall
