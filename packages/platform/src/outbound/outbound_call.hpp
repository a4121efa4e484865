#pragma once

#include "idle_connections.hpp"

#include "papayafall/platform/outbound/outbound_client.hpp"

#include <boost/intrusive/set.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <utility>

namespace papayafall::detail {

/// A request in progress, indexed by identifier and by the time of its next deadline check.
class outbound_call
    : public boost::intrusive_ref_counter<outbound_call, boost::thread_unsafe_counter>,
      public boost::intrusive::set_base_hook<boost::intrusive::tag<struct id_tag>>,
      public boost::intrusive::set_base_hook<boost::intrusive::tag<struct next_check_tag>> {
  public:
    outbound_call(outbound_call_id call_id, outbound_request sent_request,
                  outbound_connection_ptr used_connection, time_point now,
                  time_point first_check_at)
        : id(call_id), request(std::move(sent_request)), connection(std::move(used_connection)),
          sent_at(now), next_check_at(first_check_at)
    {
    }

    const outbound_call_id id;
    const outbound_request request;
    const outbound_connection_ptr connection;
    const time_point sent_at;
    time_point next_check_at;
};

using outbound_call_ptr = boost::intrusive_ptr<outbound_call>;

/// Requests in progress of a client.
class outbound_call_table {
  public:
    outbound_call_table() = default;
    outbound_call_table(const outbound_call_table&) = delete;
    outbound_call_table& operator=(const outbound_call_table&) = delete;

    ~outbound_call_table()
    {
        while (!by_id_.empty()) {
            erase(*by_id_.begin());
        }
    }

    /// Complexity: logarithmic.
    void insert(const outbound_call_ptr& call)
    {
        by_id_.insert(*call);
        by_next_check_.insert(*call);
        intrusive_ptr_add_ref(call.get());
    }

    /// Returns the call, or nullptr. Complexity: logarithmic.
    outbound_call_ptr find(outbound_call_id id)
    {
        const auto it = by_id_.find(id);
        return it == by_id_.end() ? nullptr : outbound_call_ptr(&*it);
    }

    void erase(outbound_call& call)
    {
        const outbound_call_ptr owned(&call, false);
        by_id_.erase(by_id_.iterator_to(call));
        by_next_check_.erase(by_next_check_.iterator_to(call));
    }

    void postpone(outbound_call& call, time_point next_check_at)
    {
        by_next_check_.erase(by_next_check_.iterator_to(call));
        call.next_check_at = next_check_at;
        by_next_check_.insert(call);
    }

    /// Returns the call with the earliest deadline check, or nullptr.
    outbound_call_ptr first_to_check()
    {
        return by_next_check_.empty() ? nullptr : outbound_call_ptr(&*by_next_check_.begin());
    }

    outbound_call_ptr first()
    {
        return by_id_.empty() ? nullptr : outbound_call_ptr(&*by_id_.begin());
    }

    std::size_t size() const noexcept { return by_id_.size(); }

  private:
    struct id_key {
        using type = outbound_call_id;

        const outbound_call_id& operator()(const outbound_call& it) const noexcept { return it.id; }
    };

    struct next_check_key {
        using type = time_point;

        const time_point& operator()(const outbound_call& it) const noexcept
        {
            return it.next_check_at;
        }
    };

    boost::intrusive::set<outbound_call,
                          boost::intrusive::base_hook<boost::intrusive::set_base_hook<
                              boost::intrusive::tag<struct id_tag>>>,
                          boost::intrusive::key_of_value<id_key>>
        by_id_;
    boost::intrusive::multiset<outbound_call,
                               boost::intrusive::base_hook<boost::intrusive::set_base_hook<
                                   boost::intrusive::tag<struct next_check_tag>>>,
                               boost::intrusive::key_of_value<next_check_key>>
        by_next_check_;
};

} // namespace papayafall::detail
