#include "random/jobs/store_model.hpp"

#include <chrono>
#include <vector>

namespace papayafall::random_runs {

namespace {

constexpr duration lease_duration = std::chrono::milliseconds(2000);

std::string cell_key(const jobs::cell_id& cell)
{
    return "cells/" + cell.text();
}

} // namespace

store_model::lease_id store_model::create_lease()
{
    leases_[++last_lease_] = time_.now() + lease_duration;
    return last_lease_;
}

bool store_model::renew(lease_id lease)
{
    expire_leases();
    const auto it = leases_.find(lease);
    if (it == leases_.end()) {
        return false;
    }
    it->second = time_.now() + lease_duration;
    return true;
}

void store_model::revoke_lease(lease_id lease)
{
    drop_lease(lease);
}

void store_model::revoke_all_leases()
{
    while (!leases_.empty()) {
        drop_lease(leases_.begin()->first);
    }
}

void store_model::put_worker(const jobs::worker_fields& entry)
{
    items_["workers/" + entry.id.text()] = {entry, ++revision_, 0};
}

void store_model::remove_worker(const jobs::worker_id& id)
{
    items_.erase("workers/" + id.text());
}

void store_model::put_host(const jobs::host_entry& entry, lease_id lease)
{
    if (renew(lease)) {
        items_["hosts/" + entry.host.text()] = {entry, ++revision_, lease};
    }
}

std::optional<jobs::store_revision>
store_model::claim(const jobs::claim_cell& request, const jobs::host_entry& holder, lease_id lease)
{
    if (!renew(lease)) {
        return std::nullopt;
    }
    const std::string key = cell_key(request.cell);
    const auto it = items_.find(key);
    if ((it == items_.end() ? 0 : it->second.revision) != request.expected.value()) {
        return std::nullopt;
    }
    const jobs::store_revision revision(++revision_);
    items_[key] = {jobs::cell_claim{.holder = holder.host,
                                    .incarnation = holder.incarnation,
                                    .revision = revision},
                   revision_, lease};
    return revision;
}

void store_model::evacuate(const zone_name& zone, bool evacuated)
{
    ++revision_;
    if (evacuated) {
        evacuations_[zone] = revision();
    } else {
        evacuations_.erase(zone);
    }
}

void store_model::release(const jobs::release_cell& request)
{
    expire_leases();
    const auto it = items_.find(cell_key(request.cell));
    if (it != items_.end() && it->second.revision == request.expected.value()) {
        items_.erase(it);
    }
}

const std::map<std::string, store_model::item>& store_model::items()
{
    expire_leases();
    return items_;
}

void store_model::expire_leases()
{
    std::vector<lease_id> expired;
    for (const auto& [lease, ends_at] : leases_) {
        if (time_.now() >= ends_at) {
            expired.push_back(lease);
        }
    }
    for (const lease_id it : expired) {
        drop_lease(it);
    }
}

void store_model::drop_lease(lease_id lease)
{
    leases_.erase(lease);
    std::erase_if(items_, [&](const auto& it) { return it.second.lease == lease && lease != 0; });
}

} // namespace papayafall::random_runs
