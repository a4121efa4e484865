#include "random/platform_model.hpp"

namespace papayafall::random_runs {

bool platform_model::renew_session(const peer_id& holder, bool open)
{
    if (!open && !has_session(holder)) {
        return false;
    }
    session& it = sessions_[holder];
    if (time_.now() >= it.ends_at) {
        it.number = next_session_++;
    }
    // The platform may end a session later than its time to live, but never earlier.
    it.ends_at = time_.now() + session_ttl + rng_.milliseconds(0, 2000);
    return true;
}

claim_outcome platform_model::claim(const peer_id& holder, const seat_id& seat)
{
    seat_lock& lock = seats_[seat];
    if (!has_session(holder) || (lock.holder != holder && is_held(lock))) {
        return std::nullopt;
    }
    if (!is_held(lock)) {
        lock = seat_lock{.holder = holder,
                         .session = sessions_.at(holder).number,
                         .acquisitions = lock.acquisitions + 1};
    }
    return lock.acquisitions;
}

bool platform_model::is_held(const seat_lock& lock) const
{
    const auto found = sessions_.find(lock.holder);
    return found != sessions_.end() && found->second.number == lock.session &&
           time_.now() < found->second.ends_at;
}

bool platform_model::confirm_change(revision_id base)
{
    if (base != current_configuration_->revision) {
        return false;
    }
    current_configuration_ = current_configuration_.with(
        [](configuration_fields& it) { it.revision = it.revision.next(); });
    return true;
}

bool platform_model::has_session(const peer_id& holder) const
{
    const auto found = sessions_.find(holder);
    return found != sessions_.end() && time_.now() < found->second.ends_at;
}

} // namespace papayafall::random_runs
