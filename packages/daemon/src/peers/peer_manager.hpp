#pragma once

#include "heartbeat_socket.hpp"
#include "incoming_link.hpp"
#include "outgoing_link.hpp"
#include "peer_metrics.hpp"

#include "papayafall/daemon/peers/peer_options.hpp"
#include "papayafall/daemon/peers/qt_message_authenticator.hpp"

#include <QTcpServer>
#include <QTimer>

#include <vector>

namespace papayafall::detail {

/// The part of `peer_traffic` that lives on its network thread: listener, links and heartbeats.
class peer_manager {
  public:
    /// @throws configuration_error `invalid_settings` as `peer_traffic` does
    peer_manager(const peer_options& options, event_sink& events, prometheus::Registry& registry);

    peer_manager(const peer_manager&) = delete;
    peer_manager& operator=(const peer_manager&) = delete;
    ~peer_manager();

    /// Executes actions in order, then flushes all links.
    void handle(const std::vector<action>& actions);

    endpoint link() const;

    endpoint datagrams() const { return heartbeats_.address(); }

  private:
    using outgoing_links =
        boost::intrusive::set<outgoing_link, boost::intrusive::key_of_value<outgoing_link_address>>;
    using incoming_links = boost::intrusive::list<incoming_link>;

    void execute(const forward_request& it);
    void execute(const forward_cancel& it);
    void execute(const answer_forward& it);
    void execute(const delegate_work& it);
    void execute(const abandon_exchange& it);
    void execute(const answer_delegation& it);
    void execute(const send_heartbeat& it);
    void execute(const fetch_configuration& it);
    void execute(const configuration_applied& it);

    template <typename Action>
    void execute(const Action& /*other*/)
    {
    }

    void send(const peer_id& peer, const endpoint& address, const peer_message& message);
    void answer(const answer_receiver& receiver, const peer_message& message);
    /// Returns the open link to `address`, or a new one; nullptr when the limit on links is
    /// reached.
    outgoing_link* find_or_open_outgoing_link(const endpoint& address);
    void listen();
    void accept_links();
    void flush();
    void on_tick();
    void expire_messages(time_point now);
    void remove_closed_links();

    peer_options options_;
    event_sink* events_;
    peer_metrics metrics_;
    qt_message_authenticator authenticator_;
    channel_context context_;
    served_configuration served_configuration_;
    pending_message_index pending_messages_;
    pending_answers pending_answers_;
    outgoing_links outgoing_;
    incoming_links incoming_;
    heartbeat_socket heartbeats_;
    QTcpServer server_;
    QTimer timer_;
};

} // namespace papayafall::detail
