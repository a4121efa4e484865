#include "papayafall/platform/memory/memory_key_value_store.hpp"

#include <algorithm>
#include <utility>

namespace papayafall {

memory_key_value_store::memory_key_value_store(const clock_source& clock, lock_history history)
    : clock_(&clock), history_(history), entries_writer_(entries_.claim()),
      erased_indexes_writer_(erased_indexes_.claim()), sessions_writer_(sessions_.claim()),
      watches_writer_(watches_.claim())
{
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, &context_, [this] { process_expirations(); });
}

void memory_key_value_store::get(const std::string& key, platform_reply<read_result> reply)
{
    process_expirations();
    post_reply<read_result>(reply, look_up(key));
}

store_call memory_key_value_store::watch(const std::string& key, modify_index after,
                                         time_point wait_until, platform_reply<read_result> reply)
{
    last_call_ = last_call_.next();
    watches_writer_.put(last_call_, {key, after, std::move(reply)}, wait_until);
    notify_watches(key);
    schedule();
    return last_call_;
}

void memory_key_value_store::cancel(store_call call)
{
    watches_writer_.erase(call);
}

void memory_key_value_store::list(const std::string& prefix,
                                  platform_reply<std::vector<stored_value>> reply)
{
    process_expirations();
    std::vector<stored_value> found;
    for (auto it = entries_.lower_bound(prefix); it != entries_.end(); ++it) {
        if (!it->key.starts_with(prefix)) {
            break;
        }
        found.push_back(it->value);
    }
    post_reply<std::vector<stored_value>>(reply, std::move(found));
}

void memory_key_value_store::index(const std::string& prefix, platform_reply<modify_index> reply)
{
    process_expirations();
    modify_index last(1);
    for (auto it = entries_.lower_bound(prefix); it != entries_.end(); ++it) {
        if (!it->key.starts_with(prefix)) {
            break;
        }
        last = std::max(last, it->value.index);
    }
    for (auto it = erased_indexes_.lower_bound(prefix); it != erased_indexes_.end(); ++it) {
        if (!it->key.starts_with(prefix)) {
            break;
        }
        last = std::max(last, it->value);
    }
    post_reply<modify_index>(reply, last);
}

void memory_key_value_store::put(const put_request& request, platform_reply<put_outcome> reply)
{
    process_expirations();
    if (!condition_holds(request)) {
        post_reply<put_outcome>(reply, put_outcome::refused);
        return;
    }
    const stored_value* existing = entries_.find(request.key);
    stored_value entry = existing == nullptr ? stored_value{.key = request.key} : *existing;
    entry.data = request.data;
    write(std::move(entry));
    post_reply<put_outcome>(reply, put_outcome::applied);
}

void memory_key_value_store::erase(const std::string& key, platform_reply<put_outcome> reply)
{
    if (entries_writer_.erase(key)) {
        last_index_ = last_index_.next();
        erased_indexes_writer_.put(key, last_index_);
        notify_watches(key);
    }
    post_reply<put_outcome>(reply, put_outcome::applied);
}

void memory_key_value_store::open_session(const std::string& name, std::chrono::milliseconds ttl,
                                          platform_reply<session_id> reply)
{
    const session_id session(name + "-" + std::to_string(++last_session_number_));
    sessions_writer_.put(session, ttl, clock_->read().steady + ttl);
    schedule();
    post_reply<session_id>(reply, session);
}

void memory_key_value_store::renew_session(const session_id& session,
                                           platform_reply<session_status> reply)
{
    process_expirations();
    const std::chrono::milliseconds* found = sessions_.find(session);
    if (found == nullptr) {
        post_reply<session_status>(reply, session_status::ended);
        return;
    }
    const std::chrono::milliseconds ttl = *found;
    sessions_writer_.put(session, ttl, clock_->read().steady + ttl);
    schedule();
    post_reply<session_status>(reply, session_status::alive);
}

void memory_key_value_store::destroy_session(const session_id& session,
                                             platform_reply<session_status> reply)
{
    end_session(session);
    post_reply<session_status>(reply, session_status::ended);
}

void memory_key_value_store::acquire(const lock_request& request,
                                     platform_reply<lock_outcome> reply)
{
    process_expirations();
    if (!sessions_.contains(request.session)) {
        post_reply<lock_outcome>(
            reply, platform_failure{error_id::platform_conflict, write_effect::not_applied,
                                    "the session does not exist or has ended"});
        return;
    }
    const stored_value* existing = entries_.find(request.key);
    stored_value entry = existing == nullptr ? stored_value{.key = request.key} : *existing;
    if (!entry.holder.empty() && entry.holder != request.session) {
        post_reply<lock_outcome>(reply, lock_outcome::refused);
        return;
    }
    if (entry.lock_count == 0 && history_ == lock_history::unknown) {
        entry.lock_count = 1;
    }
    if (entry.holder.empty()) {
        ++entry.lock_count;
    }
    entry.holder = request.session;
    entry.data = request.data;
    write(std::move(entry));
    post_reply<lock_outcome>(reply, lock_outcome::granted);
}

void memory_key_value_store::release(const lock_request& request,
                                     platform_reply<lock_outcome> reply)
{
    process_expirations();
    const stored_value* existing = entries_.find(request.key);
    if (existing == nullptr || existing->holder != request.session) {
        post_reply<lock_outcome>(reply, lock_outcome::refused);
        return;
    }
    stored_value entry = *existing;
    entry.holder = session_id();
    entry.data = request.data;
    write(std::move(entry));
    post_reply<lock_outcome>(reply, lock_outcome::granted);
}

void memory_key_value_store::end_all_sessions()
{
    while (!sessions_.empty()) {
        end_session(session_id(sessions_.begin()->key));
    }
}

template <typename Value>
void memory_key_value_store::post_reply(const platform_reply<Value>& reply,
                                        platform_result<Value> result)
{
    QMetaObject::invokeMethod(
        &context_, [reply, result = std::move(result)] { reply(result); }, Qt::QueuedConnection);
}

read_result memory_key_value_store::look_up(const std::string& key) const
{
    if (const stored_value* found = entries_.find(key)) {
        return {*found, found->index};
    }
    const modify_index* erased = erased_indexes_.find(key);
    return {std::nullopt, erased == nullptr ? modify_index(1) : *erased};
}

bool memory_key_value_store::condition_holds(const put_request& request) const
{
    const stored_value* found = entries_.find(request.key);
    if (std::holds_alternative<put_if_absent>(request.condition)) {
        return found == nullptr;
    }
    if (const auto* unchanged = std::get_if<put_if_unchanged>(&request.condition)) {
        return found != nullptr && found->index == unchanged->index;
    }
    return true;
}

void memory_key_value_store::write(stored_value entry)
{
    last_index_ = last_index_.next();
    entry.index = last_index_;
    const std::string key = entry.key;
    erased_indexes_writer_.erase(key);
    entries_writer_.put(key, std::move(entry));
    notify_watches(key);
}

void memory_key_value_store::notify_watches(const std::string& key)
{
    const read_result result = look_up(key);
    std::vector<store_call> due;
    for (const auto& it : watches_) {
        if (it.value.key == key && result.index > it.value.after) {
            due.push_back(it.key);
        }
    }
    for (const store_call it : due) {
        post_reply<read_result>(watches_.find(it)->reply, result);
        watches_writer_.erase(it);
    }
}

void memory_key_value_store::end_session(const session_id& session)
{
    std::vector<stored_value> held;
    for (const auto& it : entries_) {
        if (it.value.holder == session) {
            held.push_back(it.value);
        }
    }
    for (stored_value& it : held) {
        it.holder = session_id();
        write(std::move(it));
    }
    sessions_writer_.erase(session);
}

void memory_key_value_store::process_expirations()
{
    const time_point now = clock_->read().steady;
    while (const auto session = sessions_.expired(now)) {
        end_session(*session);
    }
    while (const auto call = watches_.expired(now)) {
        const pending_watch& it = *watches_.find(*call);
        post_reply<read_result>(it.reply, look_up(it.key));
        watches_writer_.erase(*call);
    }
    schedule();
}

void memory_key_value_store::schedule()
{
    const time_point next = std::min(sessions_.next_deadline(), watches_.next_deadline());
    if (next == no_deadline) {
        timer_.stop();
        return;
    }
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(duration::zero(), next - clock_->read().steady));
    timer_.start(remaining);
}

} // namespace papayafall
