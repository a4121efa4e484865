#include "peer_manager.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/platform/clock/clock_source.hpp"

#include <QHostAddress>

#include <algorithm>
#include <chrono>
#include <memory>

namespace papayafall::detail {

namespace {

/// Time limit for sending the remaining answers at shutdown, for all links together.
constexpr duration shutdown_drain_timeout = std::chrono::seconds(1);

constexpr std::chrono::milliseconds min_tick_interval(5);
constexpr std::chrono::milliseconds max_tick_interval(250);

/// A quarter of the shortest timeout, so that none is exceeded by more than 25 % of its length.
std::chrono::milliseconds tick_interval(const peer_limits& limits)
{
    const duration shortest =
        std::min({limits.heartbeat_interval, limits.receive_timeout, limits.connect_timeout}) / 4;
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(shortest),
                      min_tick_interval, max_tick_interval);
}

} // namespace

peer_manager::peer_manager(const peer_options& options, event_sink& events,
                           prometheus::Registry& registry)
    : options_(options), events_(&events), metrics_(registry),
      authenticator_(options.shared_key), context_{&options_, &authenticator_, &metrics_},
      heartbeats_(context_, events)
{
    listen();
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { on_tick(); });
    timer_.start(tick_interval(options_.limits));
}

peer_manager::~peer_manager()
{
    flush();
    const time_point deadline = steady_now() + shutdown_drain_timeout;
    for (incoming_link& it : incoming_) {
        it.drain(deadline);
    }
    outgoing_.clear_and_dispose(std::default_delete<outgoing_link>());
    incoming_.clear_and_dispose(std::default_delete<incoming_link>());
}

void peer_manager::handle(const std::vector<action>& actions)
{
    for (const action& it : actions) {
        std::visit([this](const auto& requested) { execute(requested); }, it);
    }
    flush();
}

endpoint peer_manager::link() const
{
    return {options_.link.address, server_.serverPort()};
}

void peer_manager::execute(const forward_request& it)
{
    send(it.peer, it.link, forwarded_request{it.correlation, it.content});
}

void peer_manager::execute(const forward_cancel& it)
{
    send(it.peer, it.link, forwarded_cancel{it.correlation, it.key});
}

void peer_manager::execute(const answer_forward& it)
{
    answer(it.origin, forwarded_answer{it.origin.correlation, it.result});
}

void peer_manager::execute(const delegate_work& it)
{
    send(it.peer, it.link, delegated_work{it.exchange, it.work});
}

void peer_manager::execute(const abandon_exchange& it)
{
    const auto found = pending_messages_.by_key.find(it.exchange);
    if (found != pending_messages_.by_key.end()) {
        found->link->abandon(*found);
    }
}

void peer_manager::execute(const answer_delegation& it)
{
    answer(it.owner, delegation_answer{it.owner.exchange, it.result});
}

void peer_manager::execute(const send_heartbeat& it)
{
    heartbeats_.send(it.beat, it.peers);
}

void peer_manager::execute(const fetch_configuration& it)
{
    send(it.peer, it.link, configuration_request{});
}

void peer_manager::execute(const configuration_applied& it)
{
    served_configuration_ = {.content = it.content, .origin = it.change.origin};
}

void peer_manager::send(const peer_id& peer, const endpoint& address, const peer_message& message)
{
    outgoing_link* link = find_or_open_outgoing_link(address);
    if (link == nullptr) {
        report_failure(message, delivery_failure::not_sent, *events_);
        return;
    }
    link->send(std::make_unique<outgoing_message>(peer, message, steady_now(),
                                                  options_.limits.reply_grace_period));
}

void peer_manager::answer(const answer_receiver& receiver, const peer_message& message)
{
    const auto found = pending_answers_.find(receiver);
    if (found != pending_answers_.end()) {
        found->link->answer(*found, message);
    }
}

outgoing_link* peer_manager::find_or_open_outgoing_link(const endpoint& address)
{
    const auto found = outgoing_.find(address);
    if (found != outgoing_.end() && !found->closed()) {
        return &*found;
    }
    if (found != outgoing_.end()) {
        outgoing_.erase_and_dispose(found, std::default_delete<outgoing_link>());
    }
    if (outgoing_.size() >= options_.limits.max_outgoing_links) {
        return nullptr;
    }
    auto link = std::make_unique<outgoing_link>(address, context_, pending_messages_, *events_);
    outgoing_.insert(*link);
    return link.release();
}

void peer_manager::listen()
{
    const QHostAddress host(QString::fromStdString(options_.link.address));
    if (host.isNull() || !server_.listen(host, options_.link.port)) {
        throw configuration_error(error_id::invalid_settings, "/peers/link",
                                  "cannot listen for peer links on " + options_.link.address +
                                      " port " + std::to_string(options_.link.port));
    }
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { accept_links(); });
}

void peer_manager::accept_links()
{
    while (QTcpSocket* socket = server_.nextPendingConnection()) {
        socket->setParent(nullptr);
        if (incoming_.size() >= options_.limits.max_incoming_links) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        auto link = std::make_unique<incoming_link>(socket, context_, pending_answers_,
                                                    served_configuration_, *events_);
        incoming_.push_back(*link.release());
    }
}

void peer_manager::flush()
{
    for (outgoing_link& it : outgoing_) {
        it.flush();
    }
    for (incoming_link& it : incoming_) {
        it.flush();
    }
}

void peer_manager::on_tick()
{
    const time_point now = steady_now();
    for (outgoing_link& it : outgoing_) {
        it.on_tick(now);
    }
    for (incoming_link& it : incoming_) {
        it.on_tick(now);
    }
    expire_messages(now);
    remove_closed_links();
}

void peer_manager::expire_messages(time_point now)
{
    outgoing_by_deadline& by_deadline = pending_messages_.by_deadline;
    while (!by_deadline.empty() && by_deadline.begin()->answer_deadline <= now) {
        outgoing_message& message = *by_deadline.begin();
        message.link->expire(message);
    }
}

void peer_manager::remove_closed_links()
{
    for (auto it = outgoing_.begin(); it != outgoing_.end();) {
        it = it->closed() ? outgoing_.erase_and_dispose(it, std::default_delete<outgoing_link>())
                          : std::next(it);
    }
    incoming_.remove_and_dispose_if([](const incoming_link& it) { return it.closed(); },
                                    std::default_delete<incoming_link>());
}

} // namespace papayafall::detail
