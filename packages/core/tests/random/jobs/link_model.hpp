#pragma once

#include "random/jobs/network_model.hpp"

#include "papayafall/core/jobs/messages/job_action.hpp"
#include "papayafall/core/jobs/messages/job_event.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace papayafall::random_runs {

/// One end of a link, belonging to one incarnation of a host.
struct link_end {
    std::string host;
    incarnation_id incarnation;
    std::function<void(const jobs::job_event&)> deliver; ///< to the incarnation that owns the end
    std::function<bool()> running;                       ///< alive and not suspended
};

/// A connection from one host to another, modelled after `job_links`: messages arrive in order or
/// not at all, and either end treats the connection as lost when it receives nothing for a while.
class link_model : public std::enable_shared_from_this<link_model> {
  public:
    link_model(link_end opener, link_end accepter, jobs::link_number number, scheduler& time,
               network_model& network);
    link_model(const link_model&) = delete;
    link_model& operator=(const link_model&) = delete;
    ~link_model() = default;

    jobs::link_number number() const noexcept { return number_; }

    const std::string& opener() const noexcept { return sides_[0].end.host; }

    const std::string& accepter() const noexcept { return sides_[1].end.host; }

    bool opener_lost() const noexcept { return sides_[0].lost; }

    /// Tells the opener that the link is connected, and starts the silence checks.
    void open();

    /// Whether messages get through in both directions.
    bool up() const;

    void send_to_accepter(const jobs::job_event& it) { send(1, it); }

    void send_to_opener(const jobs::job_event& it) { send(0, it); }

    /// Closes the side of a host, which closed its end or was killed; the other side is told over
    /// the network.
    void close(const std::string& host);

  private:
    struct side {
        link_end end;
        bool lost = false; ///< this side has seen the end of the link
        time_point last_received_at{};
        std::deque<jobs::job_event> in_flight; ///< messages to this side
    };

    void send(std::size_t to, const jobs::job_event& it);
    void arrive(std::size_t to);
    void mark_lost(std::size_t index);
    void check_silence();

    scheduler& time_;
    network_model& network_;
    jobs::link_number number_;
    std::array<side, 2> sides_; ///< index 0: opener, index 1: accepter
};

} // namespace papayafall::random_runs
