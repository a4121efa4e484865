#pragma once

#include "random/history.hpp"
#include "random/scheduler.hpp"

#include "papayafall/core/messages/action.hpp"

#include <functional>
#include <map>

namespace papayafall::random_runs {

/// How a target handles the tasks that it receives.
enum class target_mode { normal, fail_all, refuse, silent, slow };

/// State of one target: its occupied slots, its mode, and whether it is leaving.
struct target_model {
    target_entry entry;
    target_mode mode = target_mode::normal;
    std::uint32_t busy_slots = 0;
    bool leaving = false;
    time_point leaving_since{};
};

/// What the sender of a task could know about the targets.
struct sender_knowledge {
    time_point host_list_received_at{}; ///< time of the last host list that it handled
    /// Time since which it has run and reached the platform without interruption.
    time_point informed_since{};
};

/// All targets of a run. They run tasks in virtual time and fail as their modes say.
class target_fleet {
  public:
    using reply_function = std::function<void(exchange_outcome)>;

    target_fleet(scheduler& time, random_source& rng, history& recorder)
        : time_(time), rng_(rng), history_(recorder)
    {
    }

    void add(const target_entry& entry);

    /// Handles a task that arrives at target `name`.
    /// @param known  what the sender could know when it sent the task
    /// @param answer called at most once; never called by a silent target
    void receive_task(const target_name& name, const std::string& body,
                      const sender_knowledge& known, const reply_function& answer);

    target_model& at(std::size_t index);

    std::size_t size() const noexcept { return targets_.size(); }

    /// Returns the targets of a zone as the platform lists them.
    std::vector<target_entry> list(const zone_name& zone) const;

    /// Sets all targets to normal operation.
    void clear_faults();

  private:
    /// @throws violation if `target` is leaving and its sender had to know that
    void check_may_receive_work(const target_model& target, const std::string& body,
                                const sender_knowledge& known) const;
    duration run_time(const target_model& target);

    scheduler& time_;
    random_source& rng_;
    history& history_;
    std::map<target_name, target_model> targets_;
};

} // namespace papayafall::random_runs
