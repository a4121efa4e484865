#include "random/jobs/link_model.hpp"

#include <chrono>

namespace papayafall::random_runs {

namespace {

using std::chrono::milliseconds;

constexpr duration silence_limit = milliseconds(700);
constexpr duration beat_period = milliseconds(100);
/// Time between two attempts to send what a cut holds up.
constexpr duration resend_period = milliseconds(10);

} // namespace

link_model::link_model(link_end opener, link_end accepter, jobs::link_number number, schedule& time,
                       network_model& network)
    : time_(time), network_(network),
      number_(number), ends_{side{.end = std::move(opener)}, side{.end = std::move(accepter)}}
{
}

void link_model::open()
{
    for (side& it : ends_) {
        it.heard_at = time_.now();
    }
    send(0, jobs::peer_connected{host_name(ends_[1].end.host), ends_[1].end.incarnation});
    watch();
}

void link_model::send(std::size_t to, const jobs::job_event& it)
{
    if (ends_[1 - to].lost || ends_[to].lost) {
        return;
    }
    ends_[to].coming.push_back(it);
    time_.after(network_.delay(), [self = shared_from_this(), to] { self->arrive(to); });
}

void link_model::arrive(std::size_t to)
{
    side& at = ends_[to];
    if (at.lost || at.coming.empty()) {
        return;
    }
    if (!at.end.running() || !network_.open(ends_[0].end.host, ends_[1].end.host)) {
        time_.after(resend_period, [self = shared_from_this(), to] { self->arrive(to); });
        return;
    }
    if (time_.now() >= at.heard_at + silence_limit) {
        lose(to);
        return;
    }
    const jobs::job_event next = at.coming.front();
    at.coming.pop_front();
    at.heard_at = time_.now();
    at.end.deliver(next);
}

void link_model::close(const std::string& host)
{
    for (std::size_t n = 0; n < ends_.size(); ++n) {
        if (ends_[n].end.host != host) {
            continue;
        }
        lose(n);
        network_.carry(host, ends_[1 - n].end.host,
                       [self = shared_from_this(), n] { self->lose(1 - n); });
    }
}

void link_model::lose(std::size_t at)
{
    if (ends_[at].lost) {
        return;
    }
    ends_[at].lost = true;
    if (at == 0) {
        ends_[at].end.deliver(jobs::peer_lost{host_name(ends_[1].end.host)});
    } else {
        ends_[at].end.deliver(jobs::delegator_lost{number_});
    }
}

void link_model::watch()
{
    if (ends_[0].lost && ends_[1].lost) {
        return;
    }
    const bool path = network_.open(ends_[0].end.host, ends_[1].end.host);
    for (std::size_t n = 0; n < ends_.size(); ++n) {
        const side& other = ends_[1 - n];
        if (!ends_[n].end.running()) {
            continue;
        }
        if (time_.now() >= ends_[n].heard_at + silence_limit) {
            lose(n);
        } else if (path && !other.lost && other.end.running()) {
            ends_[n].heard_at = time_.now();
        }
    }
    time_.after(beat_period, [self = shared_from_this()] { self->watch(); });
}

} // namespace papayafall::random_runs
