#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/wire/peer/peer_message.hpp"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <cstddef>
#include <variant>

namespace papayafall::detail {

class outgoing_link;

/// Identifier by which an answer is matched to its request. Empty for messages that expect no
/// answer and for configuration requests, of which a link has only one at a time.
using reply_key = std::variant<std::monostate, correlation_id, exchange_id>;

/// A message to a peer that is queued or awaiting its answer.
///
/// It is linked into the list of queued or of written messages of its link, and into the index of
/// all links. Destruction removes it from the containers that it is linked into.
struct outgoing_message
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    using index_hook = boost::intrusive::set_member_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    /// @param now                current time
    /// @param reply_grace_period time after the deadline of a request, or after `now` for one
    ///                           without a deadline, until which its answer is accepted
    outgoing_message(peer_id to, peer_message message, time_point now, duration reply_grace_period);

    const peer_id peer;
    const peer_message content;
    const reply_key key;
    const std::size_t size;           ///< approximate size of the content in bytes
    const time_point send_deadline;   ///< not sent from this time on
    const time_point answer_deadline; ///< reported as failed when no answer arrived by then
    outgoing_link* link = nullptr;
    bool written = false;
    index_hook by_key;
    index_hook by_deadline;
};

/// Whether `message` is a request that the peer answers.
bool expects_answer(const peer_message& message) noexcept;

using outgoing_message_list =
    boost::intrusive::list<outgoing_message, boost::intrusive::constant_time_size<false>>;

struct outgoing_message_reply_key {
    using type = reply_key;

    const reply_key& operator()(const outgoing_message& it) const noexcept { return it.key; }
};

struct outgoing_message_deadline {
    using type = time_point;

    const time_point& operator()(const outgoing_message& it) const noexcept
    {
        return it.answer_deadline;
    }
};

using outgoing_by_key = boost::intrusive::set<
    outgoing_message,
    boost::intrusive::member_hook<outgoing_message, outgoing_message::index_hook,
                                  &outgoing_message::by_key>,
    boost::intrusive::constant_time_size<false>,
    boost::intrusive::key_of_value<outgoing_message_reply_key>>;

using outgoing_by_deadline = boost::intrusive::multiset<
    outgoing_message,
    boost::intrusive::member_hook<outgoing_message, outgoing_message::index_hook,
                                  &outgoing_message::by_deadline>,
    boost::intrusive::constant_time_size<false>,
    boost::intrusive::key_of_value<outgoing_message_deadline>>;

/// Pending messages of all outgoing links, by the identifier of their answer and by the time at
/// which they expire.
struct pending_message_index {
    outgoing_by_key by_key;
    outgoing_by_deadline by_deadline;
};

} // namespace papayafall::detail
