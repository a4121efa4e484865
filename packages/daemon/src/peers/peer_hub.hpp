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

/// All that a `peer_traffic` has in its thread: the listener, the links and the heartbeats.
class peer_hub {
  public:
    /// @throws configuration_error `invalid_settings` as `peer_traffic` does
    peer_hub(const peer_options& options, event_sink& events, prometheus::Registry& registry);

    peer_hub(const peer_hub&) = delete;
    peer_hub& operator=(const peer_hub&) = delete;
    ~peer_hub();

    /// Carries out actions in order, then writes what they gave to each link.
    void handle(const std::vector<action>& actions);

    endpoint link() const;

    endpoint datagrams() const { return heartbeats_.address(); }

  private:
    using outgoing_links =
        boost::intrusive::set<outgoing_link, boost::intrusive::key_of_value<address_of_link>>;
    using incoming_links = boost::intrusive::list<incoming_link>;

    void carry_out(const forward_request& it);
    void carry_out(const forward_cancel& it);
    void carry_out(const answer_forward& it);
    void carry_out(const delegate_work& it);
    void carry_out(const abandon_exchange& it);
    void carry_out(const answer_delegation& it);
    void carry_out(const send_heartbeat& it);
    void carry_out(const fetch_configuration& it);
    void carry_out(const configuration_applied& it);

    template <typename Action>
    void carry_out(const Action& /*other*/)
    {
    }

    void send(const peer_id& peer, const endpoint& address, const peer_message& message);
    void answer(const answer_receiver& receiver, const peer_message& message);
    /// The open link to `address`, a new one, or nullptr when there are too many.
    outgoing_link* find_or_open(const endpoint& address);
    void listen();
    void accept_links();
    void flush();
    void on_tick();
    void expire_messages(time_point now);
    void remove_closed();

    peer_options options_;
    event_sink* events_;
    peer_metrics metrics_;
    qt_message_authenticator authenticator_;
    channel_context context_;
    served_configuration current_;
    outgoing_index outgoing_index_;
    due_answers due_;
    outgoing_links outgoing_;
    incoming_links incoming_;
    heartbeat_socket heartbeats_;
    QTcpServer server_;
    QTimer timer_;
};

} // namespace papayafall::detail
