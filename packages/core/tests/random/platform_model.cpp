#include "random/platform_model.hpp"

namespace papayafall::random_runs {

bool platform_model::renew(const peer_id& holder, bool open)
{
    if (!open && !alive(holder)) {
        return false;
    }
    session& it = sessions_[holder];
    if (time_.now() >= it.ends_at) {
        it.number = next_session_++;
    }
    // The service may end a session later than its time to live, never earlier.
    it.ends_at = time_.now() + session_ttl + chance_.milliseconds(0, 2000);
    return true;
}

claim_outcome platform_model::claim(const peer_id& holder, const seat_id& seat)
{
    seat_lock& lock = seats_[seat];
    if (!alive(holder) || (lock.holder != holder && held(lock))) {
        return std::nullopt;
    }
    if (!held(lock)) {
        lock = seat_lock{.holder = holder,
                         .session = sessions_.at(holder).number,
                         .acquisitions = lock.acquisitions + 1};
    }
    return lock.acquisitions;
}

bool platform_model::held(const seat_lock& lock) const
{
    const auto found = sessions_.find(lock.holder);
    return found != sessions_.end() && found->second.number == lock.session &&
           time_.now() < found->second.ends_at;
}

bool platform_model::confirm(revision_id base)
{
    if (base != current_->revision) {
        return false;
    }
    current_ = current_.with([](configuration_fields& it) { it.revision = it.revision.next(); });
    return true;
}

bool platform_model::alive(const peer_id& holder) const
{
    const auto found = sessions_.find(holder);
    return found != sessions_.end() && time_.now() < found->second.ends_at;
}

} // namespace papayafall::random_runs
