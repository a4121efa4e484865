#pragma once

#include "random/history.hpp"
#include "random/schedule.hpp"

#include "papayafall/core/messages/action.hpp"

#include <functional>
#include <map>

namespace papayafall::random_runs {

/// How a modelled target treats its tasks.
enum class target_mode { normal, fail_all, refuse, silent, slow };

/// One target: a number of slots, a mode, and the instant from which it should get no new work.
struct target_model {
    target_entry entry;
    target_mode mode = target_mode::normal;
    std::uint32_t busy = 0;
    bool leaving = false;
    time_point leaving_since{};
};

/// What the sender of a task could know of its target.
struct sender_knowledge {
    time_point host_list_received_at{}; ///< instant of the newest host list that it handled
    time_point informed_since{}; ///< it ran and reached the platform without a break since then
};

/// All targets of a run; they run tasks in virtual time and may fail in every way.
class target_fleet {
  public:
    using reply = std::function<void(exchange_outcome)>;

    target_fleet(scheduler& time, random_source& rng, history& recorder)
        : time_(time), rng_(rng), history_(recorder)
    {
    }

    void add(const target_entry& entry);

    /// A task arrives at the target; `answer` is called at most once, never for a silent target.
    /// @param known what the sender could know of the target when it sent the task
    void receive_task(const target_name& name, const std::string& body,
                      const sender_knowledge& known, const reply& answer);

    target_model& at(std::size_t index);

    std::size_t size() const noexcept { return targets_.size(); }

    /// The targets of a zone as the platform lists them.
    std::vector<target_entry> list(const zone_name& zone) const;

    void clear_faults();

  private:
    void check_may_receive_work(const target_model& target, const std::string& body,
                                const sender_knowledge& known) const;
    duration run_time(const target_model& target);

    scheduler& time_;
    random_source& rng_;
    history& history_;
    std::map<target_name, target_model> targets_;
};

} // namespace papayafall::random_runs
