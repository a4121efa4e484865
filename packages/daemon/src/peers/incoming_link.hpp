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

/// The configuration in force on this host, as peers fetch it.
struct served_configuration {
    configuration content;
    std::optional<change_origin> origin;

    auto operator<=>(const served_configuration&) const = default;
};

/// Who waits for an answer of this process.
using answer_receiver = std::variant<peer_origin, peer_owner>;

/// An answer that a peer waits for on the link on which it asked. Deleting it unlinks it.
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

/// The answers that are pending on all incoming links.
using pending_answers =
    boost::intrusive::set<pending_answer, boost::intrusive::constant_time_size<false>,
                          boost::intrusive::key_of_value<pending_answer_key>>;

/// A link that a peer opened: its requests come in, the answers go back.
class incoming_link : public boost::intrusive::list_base_hook<>, private channel_observer {
  public:
    /// @param socket  connected; the link deletes it
    /// @param current configuration in force on this host; outlives the link
    incoming_link(QTcpSocket* socket, const channel_context& context, pending_answers& pending,
                  const served_configuration& current, event_sink& events);
    ~incoming_link() override;

    bool closed() const noexcept { return channel_.closed(); }

    /// Writes an answer that is pending on this link.
    void answer(pending_answer& pending, const peer_message& message);

    void flush();

    void on_tick(time_point now) { channel_.on_tick(now); }

    /// Gives the socket until `deadline` to pass on the answers that were written.
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
