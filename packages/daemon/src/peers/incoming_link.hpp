#pragma once

#include "frame_channel.hpp"

#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/core/values/change_origin.hpp"
#include "papayafall/core/values/configuration.hpp"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <variant>

namespace papayafall::detail {

class incoming_link;

/// The configuration in force on this host, which peers can fetch.
struct served_configuration {
    configuration content;
    std::optional<change_origin> origin;

    auto operator<=>(const served_configuration&) const = default;
};

/// Identifies the peer and the request that an answer belongs to.
using answer_receiver = std::variant<peer_origin, peer_owner>;

/// An answer that this process owes to a peer, on the link on which the request arrived.
///
/// Destruction removes it from the containers that it is linked into.
struct pending_answer
    : boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
      boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    pending_answer(answer_receiver to, incoming_link& from) : receiver(std::move(to)), link(&from)
    {
    }

    const answer_receiver receiver;
    incoming_link* const link;
};

struct pending_answer_key {
    using type = answer_receiver;

    const answer_receiver& operator()(const pending_answer& it) const noexcept
    {
        return it.receiver;
    }
};

/// The pending answers of all incoming links.
using pending_answers =
    boost::intrusive::set<pending_answer, boost::intrusive::constant_time_size<false>,
                          boost::intrusive::key_of_value<pending_answer_key>>;

/// A link opened by a peer, which sends requests and receives the answers to them.
class incoming_link : public boost::intrusive::list_base_hook<>, private channel_observer {
  public:
    /// @param socket  connected; owned and deleted by the link
    /// @param pending pending answers of all incoming links; must outlive the link
    /// @param current configuration in force on this host; must outlive the link
    /// @param events  receives the events; must outlive the link
    incoming_link(QTcpSocket* socket, const channel_context& context, pending_answers& pending,
                  const served_configuration& current, event_sink& events);
    ~incoming_link() override;

    bool closed() const noexcept { return channel_.closed(); }

    /// Sends a pending answer and removes it from `pending_answers`. The link is closed when too
    /// many bytes remain unsent.
    void answer(pending_answer& pending, const peer_message& message);

    void flush();

    void on_tick(time_point now) { channel_.on_tick(now); }

    /// Blocks until the written answers are sent, at most until `deadline`.
    void drain(time_point deadline) { channel_.drain(deadline); }

  private:
    void on_ready(const hello& peer) override { peer_ = peer.sender; }

    void on_message(const peer_message& message) override;

    void on_written() override {}

    void on_closed() override;

    void handle(const forwarded_request& message);
    void handle(const forwarded_cancel& message);
    void handle(const delegated_work& message);
    void handle(const delegation_cancel& message);
    void handle(const configuration_request& message);

    template <typename Message>
    void handle(const Message& message);

    void register_pending_answer(const answer_receiver& receiver);
    void write(const peer_message& message);
    void remove_pending_answer(pending_answer& pending);

    channel_context context_;
    pending_answers* pending_answers_;
    const served_configuration* served_configuration_;
    event_sink* events_;
    peer_id peer_;
    boost::intrusive::list<pending_answer, boost::intrusive::constant_time_size<false>>
        link_pending_answers_;
    std::size_t pending_count_ = 0;
    frame_channel channel_;
};

} // namespace papayafall::detail
