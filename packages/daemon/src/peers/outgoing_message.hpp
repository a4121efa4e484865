#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/wire/peer/peer_message.hpp"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <cstddef>
#include <variant>

namespace papayafall::detail {

class outgoing_link;

/// By what the answer to a message is recognised; empty where none is, or where there is only one
/// such message on a link.
using reply_key = std::variant<std::monostate, correlation_id, exchange_id>;

/// A message for a peer that waits to be written or to be answered.
///
/// It is linked into the queue or into the list of written messages of its link, and into the
/// indexes of all links. Deleting it unlinks it.
struct outgoing_message
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    using index_hook = boost::intrusive::set_member_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    /// @param reply_grace_period time that an answer may come after the deadline of its request, or
    /// after
    ///                    `now` where the request has none
    outgoing_message(peer_id to, peer_message message, time_point now, duration reply_grace_period);

    const peer_id peer;
    const peer_message content;
    const reply_key key;
    const std::size_t size;           ///< of the content in bytes, roughly
    const time_point send_deadline;   ///< not worth sending from here on
    const time_point answer_deadline; ///< given up when no answer came until then
    outgoing_link* link = nullptr;
    bool written = false;
    index_hook by_key;
    index_hook by_deadline;
};

/// Whether the peer answers `message`.
bool expects_answer(const peer_message& message) noexcept;

using outgoing_queue =
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

/// The messages of all outgoing links that wait for an answer.
struct pending_message_index {
    outgoing_by_key by_key;
    outgoing_by_deadline by_deadline;
};

} // namespace papayafall::detail
