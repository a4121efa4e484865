#include "random/platform_model.hpp"

namespace papayafall::random_runs {

bool platform_model::renew(const peer_id& holder, bool open)
{
    if (!open && !alive(holder)) {
        return false;
    }
    // The service may end a session later than its time to live, never earlier.
    sessions_[holder] = time_.now() + session_ttl + chance_.milliseconds(0, 2000);
    return true;
}

claim_outcome platform_model::claim(const peer_id& holder, const seat_id& seat)
{
    const auto found = seats_.find(seat);
    if (!alive(holder) ||
        (found != seats_.end() && found->second != holder && alive(found->second))) {
        return claim_outcome::refused;
    }
    const bool first = found == seats_.end();
    seats_[seat] = holder;
    return first ? claim_outcome::first : claim_outcome::inherited;
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
    return found != sessions_.end() && time_.now() < found->second;
}

} // namespace papayafall::random_runs
