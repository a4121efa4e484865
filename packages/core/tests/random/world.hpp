#pragma once

#include "random/history.hpp"
#include "random/host_process.hpp"
#include "random/platform_model.hpp"
#include "random/scheduler.hpp"
#include "random/target_model.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace papayafall::random_runs {

/// Counters of one run, for its report.
struct run_summary {
    std::uint64_t seed = 0;
    std::uint64_t events = 0;
    std::uint64_t submissions = 0;
    std::uint64_t calls = 0;
    std::uint64_t starts = 0; ///< tasks started by targets
    std::uint64_t faults = 0;
    // numbers of answers that callers received
    std::uint64_t complete = 0;
    std::uint64_t not_run = 0;
    std::uint64_t ran = 0;
    std::uint64_t unknown = 0;
};

/// Simulation of several dispatcher cores in virtual time. The network between them loses, repeats,
/// delays and reorders messages, and hosts crash, are suspended, and are cut off by partitions and
/// outages. All choices come from one seed.
class world {
  public:
    explicit world(std::uint64_t seed);

    /// Runs callers and faults for `length` of virtual time, then ends all faults and checks that
    /// every call is answered.
    /// @throws violation or invariant_error at the first guarantee that does not hold
    run_summary run(duration length);

    const history& recorded_history() const noexcept { return history_; }

  private:
    /// Request that a caller submits, and resubmits under the same key.
    struct caller_submission {
        std::string name;
        request content;
        time_point created_at{};
    };

    /// Call that has not been answered yet.
    struct open_call {
        std::string name;
        peer_id host;
        bool closed_by_caller = false;
        bool forwarded = false; ///< the home decides, not the host that was called
    };

    /// Message whose sender waits for an answer.
    struct pending_message {
        peer_id receiver;
        event lost; ///< event for the sender if no answer can arrive any more
    };

    /// Sender, number that the sender gave to the message, and whether it is a delegation.
    using pending_key = std::tuple<peer_id, std::uint64_t, bool>;

    // processes
    void start_process(host_process& host);
    void crash(host_process& host);
    void suspend(host_process& host);
    void request_shutdown(host_process& host);
    void schedule_ticks(host_process& host, incarnation_id incarnation);
    void schedule_session_renewals(host_process& host, incarnation_id incarnation);
    void schedule_platform_reads(host_process& host, incarnation_id incarnation);
    host_process* find_process(const peer_id& id);
    void deliver(const peer_id& id, const event& incoming);
    void handle(host_process& host, const std::vector<event>& incoming);
    void execute_actions(host_process& host);

    // actions of a core
    void execute_action(host_process& host, const action& requested);
    void execute(host_process& host, const answer_call& it);
    void execute(host_process& host, const issue_tickets& it);
    void execute(host_process& host, const forward_request& it);
    void execute(host_process& host, const forward_cancel& it);
    void execute(host_process& host, const answer_forward& it);
    void execute(host_process& host, const start_exchange& it);
    void execute(host_process& host, const delegate_work& it);
    void execute(host_process& host, const answer_delegation& it);
    void execute(host_process& host, const send_heartbeat& it);
    void execute(host_process& host, const claim_seat& it);
    void execute(host_process& host, const fetch_configuration& it);
    void execute(host_process& host, const configuration_applied& it);
    void execute(host_process& host, const stop_process& it);

    // network between hosts
    bool connected(const host_process& lhs, const host_process& rhs) const;
    duration network_delay();
    /// Sends a message that expects an answer; the network may lose it or delay it.
    /// @param not_sent event for the sender if the message never left it
    /// @param lost     event for the sender if the message or its answer was lost
    void send(host_process& from, const peer_id& to, const pending_key& key, const event& message,
              const event& not_sent, const event& lost);
    void send_answer(host_process& from, const pending_key& key, const event& message);
    /// Loses the message `key` after `delay`, unless its answer arrives earlier.
    void lose_later(const pending_key& key, duration delay);
    /// Loses all messages to `receiver` that have not been answered.
    void lose_pending_messages(const peer_id& receiver);

    void add_trace_step(const std::string& name, const std::string& step);

    // callers
    void schedule_calls(time_point end);
    caller_submission make_submission();
    std::optional<request_key> make_key();
    void submit(const caller_submission& submission);
    void schedule_resubmission(const caller_submission& submission);
    /// Returns whether the system must still recognize the key of `submission`. A key without a
    /// creation time is recognized only as long as its record is retained.
    bool is_key_recognized(const caller_submission& submission) const;
    void on_call_answer(const call_id& call, const answer& result);
    host_process& random_host();

    // faults
    void schedule_faults(time_point end);
    void inject_random_fault();
    /// Records that `host` may miss changes on the platform for `length`.
    void mark_cut_off(host_process& host, duration length);
    void partition_zones();
    void disconnect_platform();
    void inject_target_fault();
    /// Confirms two changes of the same revision and checks that exactly one succeeds.
    void confirm_racing_changes();
    /// Checks that all processes that were running at `confirmed_at` have applied `revision`,
    /// unless membership or the platform was disturbed since then.
    void check_revision_applied(revision_id revision, time_point confirmed_at);
    /// Records that membership or the platform is disturbed for `length`.
    void mark_disturbed(duration length);

    scheduler time_;
    random_source rng_;
    history history_;
    platform_model platform_;
    target_fleet targets_;
    std::vector<host_process> hosts_;
    std::set<std::pair<zone_name, zone_name>> partitioned_zones_;
    time_point calls_end_at_{};
    time_point disturbed_until_{}; ///< end of the last disturbance of membership or platform
    std::uint64_t next_incarnation_ = 1;
    std::uint64_t next_call_ = 1;
    std::uint64_t next_submission_ = 1;
    std::map<call_id, open_call> open_calls_;
    std::map<pending_key, pending_message> pending_messages_;
    std::map<pending_key, std::string> forwarded_submissions_; ///< by forwarded request
    std::vector<ticket> tickets_;
    run_summary summary_;
};

} // namespace papayafall::random_runs
