#pragma once

#include "random/jobs/link_model.hpp"
#include "random/jobs/store_model.hpp"
#include "random/jobs/worker_model.hpp"

#include "papayafall/core/jobs/engine/job_engine.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayafall::random_runs {

/// Receives the answers to the calls of callers.
class answer_sink {
  public:
    answer_sink() = default;
    answer_sink(const answer_sink&) = delete;
    answer_sink& operator=(const answer_sink&) = delete;
    virtual ~answer_sink() = default;

    virtual void on_answer(call_id call, jobs::job_outcome outcome) = 0;
    virtual void on_status(call_id call, jobs::job_status status) = 0;
    /// The host that had the call was killed, or the connection was reset.
    virtual void on_disconnected(call_id call) = 0;
};

class dispatcher_model;

/// Models that all dispatchers of a simulation share.
struct simulation_context {
    scheduler& time;
    random_source& rng;
    network_model& network;
    store_model& store;
    job_history& history;
    answer_sink& callers;
    std::map<jobs::worker_id, std::unique_ptr<worker_model>>& workers;
    std::map<host_name, std::unique_ptr<dispatcher_model>>& hosts;
    /// If set, some calls to workers are not answered and are carried out up to 8 s later.
    bool& delay_worker_calls;
};

/// Model of an entry host: the real core with models of its connections, the store and the workers.
/// Every start is a new incarnation; results of calls of an earlier one are never delivered to it.
class dispatcher_model {
  public:
    dispatcher_model(jobs::dispatcher_identity self, jobs::job_parameters parameters,
                     simulation_context context);
    dispatcher_model(const dispatcher_model&) = delete;
    dispatcher_model& operator=(const dispatcher_model&) = delete;
    ~dispatcher_model() = default;

    const std::string& name() const noexcept { return self_.host.text(); }

    bool alive() const noexcept { return engine_ != nullptr; }

    void start();
    void kill();
    void suspend(duration length);
    /// Requests a graceful stop; the process ends on its own.
    void stop();
    void submit(call_id call, const jobs::job_spec& job, time_point answer_by);
    /// A caller cancels a job, whichever host has it.
    void cancel(call_id call, const jobs::job_id& job);
    /// The caller has closed its connection.
    /// @param noticed whether the end of the connection arrives here
    void abandon_call(call_id call, bool noticed);
    /// Accepts a connection from another host.
    void accept(const std::shared_ptr<link_model>& link);
    link_end make_link_end();
    /// Version of the configuration in force; 0 if the host is down or has none.
    std::uint64_t configuration_version() const;
    /// Fails if a host that is linked to this one has had a newer configuration for long.
    void check_configuration();

  private:
    static constexpr const char* store_name = "store"; ///< of the store, in the network model

    clock_reading reading() const;
    void deliver(const jobs::job_event& it);
    void deliver_if_current(std::uint64_t generation, const jobs::job_event& it);
    void tick(std::uint64_t generation);
    void poll_store(std::uint64_t generation);
    void read_store();
    void read_configuration();
    void read_evacuations();
    /// Fails if a start is sent to a zone long after this host has read of its evacuation.
    void check_evacuation(const jobs::start_run& it) const;
    /// Function that sends to the other end of a link.
    std::function<void(const jobs::job_event&)> sender_of(jobs::link_number number) const;
    void reconnect_links(std::uint64_t generation);
    void connect(const jobs::host_entry& entry);
    void perform_actions();

    void perform(const jobs::answer_job& it);
    void perform(const jobs::answer_job_status& it);
    void perform(const jobs::follow_workers& it);
    void perform(const jobs::claim_cell& it);
    void perform(const jobs::release_cell& it);
    void perform(const jobs::update_host_entry& it);
    void perform(const jobs::connect_peer& it);
    void perform(const jobs::disconnect_peer& it);
    void perform(const jobs::delegate_job& it);
    void perform(const jobs::withdraw_delegation& it);
    void perform(const jobs::answer_delegation& it);
    void perform(const jobs::publish_load& it);
    void perform(const jobs::release_worker& it);
    void perform(const jobs::publish_configuration_version& it);
    void perform(const jobs::publish_task_crashes& it);
    void perform(const jobs::publish_cancellation& it);
    void perform(const jobs::send_cancellation& it);
    void perform(const jobs::request_cancellation& it);
    void perform(const jobs::answer_cancellation& it);
    void perform(const jobs::publish_evacuation& it);
    void perform(const jobs::request_configuration& it);
    void send_to_all(const jobs::job_event& it);
    void perform(const jobs::send_configuration& it);
    void perform(const jobs::close_links& it);
    void perform(const jobs::start_run& it);
    void perform(const jobs::stop_run& it);
    void perform(const jobs::fetch_report& it);
    void perform(const jobs::stop_dispatcher& it);
    void perform(const jobs::log_decision& it);

    template <typename Other>
    void perform(const Other& /*it*/)
    {
    }

    /// Calls a worker over the network.
    ///
    /// @param timeout_at when `unanswered` is delivered, unless an answer came before
    /// @param refused    delivered when the worker is down or its connections are rejected
    /// @param execute    carries out the call on the worker; answers through its second argument
    /// @param may_delay  whether the call is subject to `simulation_context::delay_worker_calls`
    void call(const jobs::worker_id& id, time_point timeout_at, const jobs::job_event& unanswered,
              const jobs::job_event& refused,
              const std::function<void(worker_model&, const std::function<void(jobs::job_event)>&)>&
                  execute,
              bool may_delay);

    jobs::dispatcher_identity self_;
    jobs::job_parameters parameters_;
    simulation_context context_;
    std::uint64_t generation_ = 0;
    std::unique_ptr<jobs::job_engine> engine_;
    jobs::host_entry entry_;
    bool suspended_ = false;
    std::vector<jobs::job_event> deferred_events_;
    /// Submissions that arrived during a suspension and whose connections are open.
    std::vector<jobs::job_submitted> buffered_requests_;
    std::vector<call_id> calls_;
    std::map<std::string, store_model::item> last_store_items_;
    bool follows_workers_ = true;
    store_model::lease_id lease_ = 0;
    bool store_reachable_ = false;
    time_point last_store_contact_at_{};
    std::map<zone_name, jobs::store_revision> last_evacuations_; ///< as last read in the store
    std::map<zone_name, time_point> evacuated_since_; ///< when each was first read in the store
    std::map<zone_name, jobs::zone_evacuation> published_evacuations_;
    std::uint64_t last_store_configuration_ = 0;
    time_point outdated_since_ = no_deadline; ///< a linked host has had a newer configuration
    std::map<std::string, jobs::host_entry> configured_peers_;
    std::map<std::string, std::shared_ptr<link_model>> outgoing_links_;
    std::map<jobs::link_number, std::shared_ptr<link_model>> incoming_links_;
};

} // namespace papayafall::random_runs
