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

struct job_link_options {
    host_name host;
    incarnation_id incarnation;
    endpoint listen;
    /// Time after which a link that carried nothing else sends a sign of life.
    duration heartbeat_period = std::chrono::milliseconds(200);
    /// Silence after which a link counts as lost.
    duration silence_timeout = std::chrono::milliseconds(700);
    /// Time between two attempts to connect.
    duration reconnect_delay = std::chrono::milliseconds(200);
};

/// TCP links to the other entry hosts. Each host connects to every other one and delegates over
/// its own link; the receiving end answers on it and tells its load.
///
/// What was delegated over a link is tied to it: both ends take a silent link as lost, so that the
/// receiver stops the runs and the sender knows that it does. Belongs to the thread that made it.
class job_links {
  public:
    /// @throws configuration_error when the address cannot be used
    job_links(const job_link_options& options, message_sink<job_event>& events);
    job_links(const job_links&) = delete;
    job_links& operator=(const job_links&) = delete;
    ~job_links();

    std::uint16_t port() const;

    void connect(const host_entry& entry);
    void disconnect(const host_name& host);
    void delegate(const delegate_job& action);
    void withdraw(const withdraw_delegation& action);
    void answer(const answer_delegation& action);
    void publish(const load_report& load);
    void release(const release_worker& action);
    /// Closes every link, as after a time in which the process did not run.
    void close_all();

    /// Beats, silence and new attempts to connect.
    void on_tick(time_point now);

  private:
    class link;
    class outgoing;
    class incoming;

    void accept();

    job_link_options options_;
    message_sink<job_event>& events_;
    QTcpServer server_;
    std::map<host_name, std::unique_ptr<outgoing>> outgoing_;
    std::map<link_number, std::unique_ptr<incoming>> incoming_;
    link_number last_link_;
};

} // namespace papayafall::jobs
