#include "random/target_model.hpp"

#include <algorithm>

namespace papayafall::random_runs {

namespace {

/// Time after which a leaving target must receive no new work.
constexpr std::chrono::seconds leaving_grace_period{5};

} // namespace

void target_fleet::add(const target_entry& entry)
{
    targets_[entry.name] = target_model{.entry = entry};
}

void target_fleet::receive_task(const target_name& name, const std::string& body,
                                const sender_knowledge& known, const reply_function& answer)
{
    target_model& target = targets_.at(name);
    check_may_receive_work(target, body, known);
    if (target.mode == target_mode::refuse || target.busy_slots >= target.entry.slots) {
        answer(target_refused{.leaving = false});
        return;
    }
    history_.on_start(body);
    if (target.mode == target_mode::fail_all) {
        answer(failure{
            .id = error_id::task_failed, .run = run_state::ran, .detail = "the target failed"});
        return;
    }
    ++target.busy_slots;
    const bool silent = target.mode == target_mode::silent;
    time_.after(run_time(target), [this, name, body, silent, answer] {
        target_model& done = targets_.at(name);
        --done.busy_slots;
        if (!silent) {
            answer(task_answer{.status = 200, .body = bytes("done:" + body)});
        }
    });
}

void target_fleet::check_may_receive_work(const target_model& target, const std::string& body,
                                          const sender_knowledge& known) const
{
    if (!target.leaving) {
        return;
    }
    const time_point since = std::max(target.leaving_since, known.informed_since);
    if (known.host_list_received_at > target.leaving_since) {
        throw violation("leaving target " + target.entry.name.text() +
                        " received new work from a host that had been told so" +
                        history_.trace(body.substr(0, body.find('/'))));
    }
    if (time_.now() > since + leaving_grace_period) {
        throw violation("leaving target " + target.entry.name.text() + " received new work " +
                        std::to_string((time_.now() - target.leaving_since).count()) + " us later" +
                        history_.trace(body.substr(0, body.find('/'))));
    }
}

target_model& target_fleet::at(std::size_t index)
{
    auto it = targets_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(index));
    return it->second;
}

std::vector<target_entry> target_fleet::list(const zone_name& zone) const
{
    std::vector<target_entry> entries;
    for (const auto& [name, it] : targets_) {
        if (it.entry.zone != zone) {
            continue;
        }
        target_entry entry = it.entry;
        entry.leaving = it.leaving;
        entries.push_back(entry);
    }
    return entries;
}

void target_fleet::clear_faults()
{
    for (auto& [name, it] : targets_) {
        it.mode = target_mode::normal;
        it.leaving = false;
    }
}

duration target_fleet::run_time(const target_model& target)
{
    const duration normal =
        rng_.percent(5) ? rng_.milliseconds(1000, 6000) : rng_.milliseconds(5, 300);
    return target.mode == target_mode::slow ? normal * 8 : normal;
}

} // namespace papayafall::random_runs
