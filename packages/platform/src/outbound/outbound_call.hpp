#pragma once

#include "papayafall/platform/outbound/connection_pool.hpp"
#include "papayafall/platform/outbound/one_shot_body.hpp"
#include "papayafall/platform/outbound/outbound_client.hpp"

#include <QNetworkReply>

#include <boost/intrusive/set.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <utility>

namespace papayafall::detail {

/// A request in progress, ordered by its number and by the instant at which it is looked at next.
class outbound_call
    : public boost::intrusive_ref_counter<outbound_call, boost::thread_unsafe_counter>,
      public boost::intrusive::set_base_hook<boost::intrusive::tag<struct by_number>>,
      public boost::intrusive::set_base_hook<boost::intrusive::tag<struct by_due>> {
  public:
    outbound_call(outbound_call_id it, outbound_request content, connection_id used, time_point now,
                  time_point first_due)
        : id(it), request(std::move(content)), connection(used), sent_at(now), due(first_due)
    {
    }

    /// Takes note of what the library uses for the call; `reply` comes to own `content`, which it
    /// may read until it is deleted. `content` is null for a request without a body.
    void attach(QNetworkReply* started, one_shot_body* content)
    {
        reply = started;
        body = content;
        if (body != nullptr) {
            body->setParent(reply);
        }
    }

    /// Whether no byte of the body can have reached the server.
    bool unsent() const noexcept
    {
        return body != nullptr && request->body.size() > 0 && !body->was_read();
    }

    const outbound_call_id id;
    const outbound_request request;
    const connection_id connection;
    const time_point sent_at;
    time_point due;
    one_shot_body* body = nullptr;
    QNetworkReply* reply = nullptr;
};

using outbound_call_ptr = boost::intrusive_ptr<outbound_call>;

/// The requests of a client that are in progress.
class outbound_call_table {
  public:
    outbound_call_table() = default;
    outbound_call_table(const outbound_call_table&) = delete;
    outbound_call_table& operator=(const outbound_call_table&) = delete;

    ~outbound_call_table()
    {
        while (!numbers_.empty()) {
            erase(*numbers_.begin());
        }
    }

    /// Complexity: logarithmic.
    void insert(const outbound_call_ptr& call)
    {
        numbers_.insert(*call);
        dues_.insert(*call);
        intrusive_ptr_add_ref(call.get());
    }

    /// Returns the call, or nullptr. Complexity: logarithmic.
    outbound_call_ptr find(outbound_call_id id)
    {
        const auto it = numbers_.find(id);
        return it == numbers_.end() ? nullptr : outbound_call_ptr(&*it);
    }

    void erase(outbound_call& call)
    {
        const outbound_call_ptr last(&call, false);
        numbers_.erase(numbers_.iterator_to(call));
        dues_.erase(dues_.iterator_to(call));
    }

    void postpone(outbound_call& call, time_point due)
    {
        dues_.erase(dues_.iterator_to(call));
        call.due = due;
        dues_.insert(call);
    }

    /// Returns the call that is to be looked at first, or nullptr.
    outbound_call_ptr first_due()
    {
        return dues_.empty() ? nullptr : outbound_call_ptr(&*dues_.begin());
    }

    outbound_call_ptr first()
    {
        return numbers_.empty() ? nullptr : outbound_call_ptr(&*numbers_.begin());
    }

    std::size_t size() const noexcept { return numbers_.size(); }

  private:
    struct number_of {
        using type = outbound_call_id;

        const outbound_call_id& operator()(const outbound_call& it) const noexcept { return it.id; }
    };

    struct due_of {
        using type = time_point;

        const time_point& operator()(const outbound_call& it) const noexcept { return it.due; }
    };

    boost::intrusive::set<outbound_call,
                          boost::intrusive::base_hook<boost::intrusive::set_base_hook<
                              boost::intrusive::tag<struct by_number>>>,
                          boost::intrusive::key_of_value<number_of>>
        numbers_;
    boost::intrusive::multiset<outbound_call,
                               boost::intrusive::base_hook<boost::intrusive::set_base_hook<
                                   boost::intrusive::tag<struct by_due>>>,
                               boost::intrusive::key_of_value<due_of>>
        dues_;
};

} // namespace papayafall::detail
