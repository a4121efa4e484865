#pragma once

#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/core/jobs/messages/job_action.hpp"
#include "papayafall/core/jobs/messages/job_event.hpp"
#include "papayafall/wire/jobs/job_message.hpp"

#include <QTcpServer>

#include <cstdint>
#include <map>
#include <memory>

namespace papayafall::jobs {

/// Identity, address and timing of the links of a host.
struct job_link_options {
    host_name host;             ///< this host
    incarnation_id incarnation; ///< of this host
    endpoint listen;            ///< address for the links of other hosts
    /// Time after which an idle link sends a heartbeat.
    duration heartbeat_period = std::chrono::milliseconds(200);
    /// Time without received data after which a link is treated as lost.
    duration silence_timeout = std::chrono::milliseconds(700);
    /// Time between the loss of an outgoing link and the next connection attempt.
    duration reconnect_delay = std::chrono::milliseconds(200);
};

/// TCP links between entry hosts. A host opens links to dispatchers and delegates jobs over them;
/// the receiving host sends the outcomes and its load over the same link. Both ends tell each other
/// the version of their configuration, send it on request, and pass on crashes under tasks and
/// cancelled jobs.
///
/// A delegated job is bound to its link: both ends treat a silent link as lost, so that the
/// receiver stops the runs and the sender can rely on that. Not thread-safe: use it only on the
/// thread that created it.
class job_links {
  public:
    /// @throws configuration_error if the server cannot listen on the address
    job_links(const job_link_options& options, message_sink<job_event>& events);
    job_links(const job_links&) = delete;
    job_links& operator=(const job_links&) = delete;
    ~job_links();

    std::uint16_t port() const;

    /// Opens a link to a host, and replaces a link to an earlier incarnation of it. A lost link is
    /// opened again until `disconnect`.
    void connect(const host_entry& entry);

    /// Closes the link to a host.
    void disconnect(const host_name& host);

    /// Sends a job to a host; posts the outcome `refused` if there is no link to it.
    void delegate(const delegate_job& action);

    /// Cancels a delegated job.
    void withdraw(const withdraw_delegation& action);

    /// Sends the outcome of a job to the host that delegated it.
    void answer(const answer_delegation& action);

    /// Sends the load of this host to all hosts that delegate to it.
    void publish(const load_report& load);

    /// Tells a host that this one has no more runs on a worker.
    void release(const release_worker& action);

    /// Tells all linked hosts, now and when a link is opened, which version of the configuration is
    /// in force here.
    void publish(const publish_configuration_version& action);

    /// Tells all linked hosts how many workers crashed under a task.
    void publish(const publish_task_crashes& action);

    /// Tells all linked hosts that a job was cancelled.
    void publish(const publish_cancellation& action);

    /// Tells the host at the other end of a link that a job was cancelled.
    void send(const send_cancellation& action);

    /// Asks a host whether it had a cancelled job open; does nothing without a link to it.
    void request(const request_cancellation& action);

    /// Tells the host at the other end of a link whether this one had a cancelled job open.
    void answer(const answer_cancellation& action);

    /// Tells all linked hosts, now and when a link is opened, of a request to evacuate a zone.
    void publish(const publish_evacuation& action);

    /// Asks the host at the other end of a link for its configuration.
    void request(const request_configuration& action);

    /// Sends the configuration to the host at the other end of a link.
    void send(const send_configuration& action);

    /// Closes every link, for example after the process was suspended.
    void close_all();

    /// Sends heartbeats, closes silent links and reconnects lost ones.
    void on_tick(time_point now);

  private:
    class link;
    class outgoing_link;
    class incoming_link;

    void accept();
    void write_to_all(const job_message& message);
    /// Link with the given number, or nullptr if it has ended.
    link* find(link_number number) const;

    job_link_options options_;
    message_sink<job_event>& events_;
    QTcpServer server_;
    std::map<host_name, std::unique_ptr<outgoing_link>> outgoing_links_;
    std::map<link_number, std::unique_ptr<incoming_link>> incoming_links_;
    link_number last_link_number_;
    std::uint64_t configuration_version_ = 0;          ///< in force here; 0: none
    std::map<zone_name, zone_evacuation> evacuations_; ///< newest request for each zone
};

} // namespace papayafall::jobs
