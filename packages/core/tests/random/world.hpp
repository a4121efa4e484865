#pragma once

#include "random/history.hpp"
#include "random/host_process.hpp"
#include "random/platform_model.hpp"
#include "random/schedule.hpp"
#include "random/target_model.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace papayafall::random_runs {

/// What a run did, for the report.
struct run_summary {
    std::uint64_t seed = 0;
    std::uint64_t events = 0;
    std::uint64_t submissions = 0;
    std::uint64_t calls = 0;
    std::uint64_t starts = 0;
    std::uint64_t faults = 0;
    std::uint64_t complete = 0;
    std::uint64_t not_run = 0;
    std::uint64_t ran = 0;
    std::uint64_t unknown = 0;
};

/// Several cores in virtual time, joined by an exchange that loses, repeats, delays and reorders
/// what it carries, with crashes, pauses, partitions and outages. All choices come from one seed.
class world {
  public:
    explicit world(std::uint64_t seed);

    /// Runs callers and faults for `length` of virtual time, then heals and waits until every
    /// call has its answer.
    /// @throws violation or invariant_error at the first breach
    run_summary run(duration length);

    const history& seen() const noexcept { return seen_; }

  private:
    struct caller_submission {
        std::string name;
        request content;
        time_point made_at{};
    };

    struct open_call {
        std::string name;
        peer_id host;
        bool hung_up = false;
        bool forwarded = false; ///< the home decided, not the host that was called
    };

    /// A message whose sender waits for an answer.
    struct pending_message {
        peer_id receiver;
        event lost; ///< what the sender learns when no answer can come any more
    };

    /// Sender, its number of the message, and whether it is a delegation.
    using pending_key = std::tuple<peer_id, std::uint64_t, bool>;

    // processes
    void boot(host_process& host);
    void crash(host_process& host);
    void pause(host_process& host);
    void ask_to_stop(host_process& host);
    void keep_ticking(host_process& host, incarnation_id incarnation);
    void keep_session(host_process& host, incarnation_id incarnation);
    void keep_reading(host_process& host, incarnation_id incarnation);
    host_process* find(const peer_id& id);
    void deliver(const peer_id& id, const event& incoming);
    void handle(host_process& host, const std::vector<event>& incoming);
    void pass_on(host_process& host);

    // actions of a core
    void carry_out(host_process& host, const action& requested);
    void act(host_process& host, const answer_call& it);
    void act(host_process& host, const issue_tickets& it);
    void act(host_process& host, const forward_request& it);
    void act(host_process& host, const forward_cancel& it);
    void act(host_process& host, const answer_forward& it);
    void act(host_process& host, const start_exchange& it);
    void act(host_process& host, const delegate_work& it);
    void act(host_process& host, const answer_delegation& it);
    void act(host_process& host, const send_heartbeat& it);
    void act(host_process& host, const claim_seat& it);
    void act(host_process& host, const fetch_configuration& it);
    void act(host_process& host, const configuration_applied& it);
    void act(host_process& host, const stop_process& it);

    // the exchange between hosts
    bool linked(const host_process& lhs, const host_process& rhs) const;
    duration delay();
    void send(host_process& from, const peer_id& to, const pending_key& key, const event& message,
              const event& not_sent, const event& lost);
    void send_answer(host_process& from, const pending_key& key, const event& message);
    void lose(const pending_key& key, duration delay);
    void fail_pending(const peer_id& receiver);

    void note(const std::string& name, const std::string& step);

    // callers
    void keep_calling(time_point end);
    caller_submission make_submission();
    std::optional<request_key> make_key();
    void call(const caller_submission& submission);
    void call_again_later(const caller_submission& submission);
    bool within_promise(const caller_submission& submission) const;
    void on_call_answer(const call_id& call, const answer& result);
    host_process& any_host();

    // faults
    void keep_failing(time_point end);
    void inject();
    void cut_off(host_process& host, duration length);
    void cut_zones();
    void cut_platform();
    void change_target();
    void change_configuration();
    void check_in_force(revision_id revision, time_point confirmed_at);
    void disturb(duration length);

    schedule time_;
    dice chance_;
    history seen_;
    platform_model platform_;
    target_fleet targets_;
    std::vector<host_process> hosts_;
    std::set<std::pair<zone_name, zone_name>> cut_;
    time_point callers_end_{};
    time_point disturbed_until_{}; ///< membership or platform disturbed until then
    std::uint64_t next_incarnation_ = 1;
    std::uint64_t next_call_ = 1;
    std::uint64_t next_submission_ = 1;
    std::map<call_id, open_call> calls_;
    std::map<pending_key, pending_message> pending_;
    std::map<pending_key, std::string> forwarded_; ///< submission of each forwarded request
    std::vector<ticket> tickets_;
    run_summary summary_;
};

} // namespace papayafall::random_runs
