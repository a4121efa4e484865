#include "papayafall/daemon/jobs/job_links.hpp"

#include "job_link.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/daemon/logging/log.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/http/socket_options.hpp"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QTcpSocket>

#include <string>
#include <utility>
#include <vector>

namespace papayafall::jobs {

job_links::job_links(const job_link_options& options, message_sink<job_event>& events)
    : options_(options), events_(events)
{
    const QHostAddress address(QString::fromStdString(options.listen.address));
    if (!server_.listen(address, options.listen.port)) {
        throw configuration_error(error_id::invalid_settings, "/peers/listen",
                                  "cannot listen on " + options.listen.address + ":" +
                                      std::to_string(options.listen.port));
    }
    QObject::connect(&server_, &QTcpServer::newConnection, [this] { accept(); });
}

job_links::~job_links() = default;

std::uint16_t job_links::port() const
{
    return server_.serverPort();
}

void job_links::connect(const host_entry& entry)
{
    auto& found = outgoing_links_[entry.host];
    if (found != nullptr && !found->closed() && found->entry().incarnation == entry.incarnation) {
        return;
    }
    if (found != nullptr) {
        found->close("replaced");
    }
    found = std::make_unique<outgoing_link>(*this, entry);
}

void job_links::disconnect(const host_name& host)
{
    const auto it = outgoing_links_.find(host);
    if (it == outgoing_links_.end()) {
        return;
    }
    it->second->close("host_gone");
    outgoing_links_.erase(it);
}

void job_links::delegate(const delegate_job& action)
{
    const auto it = outgoing_links_.find(action.to);
    if (it != outgoing_links_.end() && it->second->handshake_done() && !it->second->closed() &&
        it->second->try_write(link_delegation{action.delegation, action.order})) {
        return;
    }
    events_.post(delegation_answered{
        action.delegation, job_outcome::refused, {.reason = refusal_reason::dispatcher_unlinked}});
}

void job_links::withdraw(const withdraw_delegation& action)
{
    const auto it = outgoing_links_.find(action.to);
    if (it != outgoing_links_.end()) {
        it->second->write(link_withdrawal{action.delegation});
    }
}

void job_links::answer(const answer_delegation& action)
{
    const auto it = incoming_links_.find(action.origin.link);
    if (it != incoming_links_.end()) {
        it->second->write(link_outcome{action.origin.delegation, action.outcome, action.refusal});
    }
}

void job_links::publish(const load_report& load)
{
    const time_point now = steady_now();
    const std::string frame = encode_job_frame(link_load{load}, now);
    for (const auto& [number, it] : incoming_links_) {
        it->write_frame(frame, now);
    }
}

void job_links::release(const release_worker& action)
{
    const auto it = outgoing_links_.find(action.to);
    if (it != outgoing_links_.end()) {
        it->second->write(link_release{action.id});
    }
}

void job_links::publish(const publish_configuration_version& action)
{
    configuration_version_ = action.version;
    write_to_all(link_configuration_version{action.version});
}

void job_links::publish(const publish_task_crashes& action)
{
    write_to_all(link_task_crashes{action.task, action.crashes});
}

void job_links::publish(const publish_cancellation& action)
{
    write_to_all(link_cancellation{action.cancellation});
}

void job_links::send(const send_cancellation& action)
{
    if (link* const it = find(action.link)) {
        it->write(link_cancellation{action.cancellation});
    }
}

void job_links::request(const request_cancellation& action)
{
    const auto it = outgoing_links_.find(action.to);
    if (it != outgoing_links_.end()) {
        it->second->write(link_cancellation_request{action.cancellation});
    }
}

void job_links::answer(const answer_cancellation& action)
{
    if (link* const it = find(action.link)) {
        it->write(link_cancellation_answer{action.job, action.found});
    }
}

void job_links::publish(const publish_evacuation& action)
{
    evacuations_[action.request.zone] = action.request;
    write_to_all(link_evacuation{action.request});
}

void job_links::write_to_all(const job_message& message)
{
    const time_point now = steady_now();
    const std::string frame = encode_job_frame(message, now);
    for (const auto& [host, it] : outgoing_links_) {
        it->write_frame(frame, now);
    }
    for (const auto& [number, it] : incoming_links_) {
        it->write_frame(frame, now);
    }
}

void job_links::request(const request_configuration& action)
{
    if (link* const it = find(action.link)) {
        it->write(link_configuration_request{});
    }
}

void job_links::send(const send_configuration& action)
{
    link* const it = find(action.link);
    if (it == nullptr) {
        return;
    }
    it->try_write(link_configuration{action.configuration});
}

job_links::link* job_links::find(link_number number) const
{
    if (const auto it = incoming_links_.find(number); it != incoming_links_.end()) {
        return it->second.get();
    }
    for (const auto& [host, it] : outgoing_links_) {
        if (it->number() == number) {
            return it.get();
        }
    }
    return nullptr;
}

void job_links::close_all()
{
    for (const auto& [host, it] : outgoing_links_) {
        it->close("process_resumed");
    }
    for (const auto& [number, it] : incoming_links_) {
        it->close("process_resumed");
    }
}

void job_links::on_tick(time_point now)
{
    const time_point boot_time = boot_now();
    std::vector<host_entry> to_reconnect;
    for (const auto& [host, it] : outgoing_links_) {
        it->on_tick(now, boot_time);
        if (it->closed() && now >= it->reconnect_at()) {
            to_reconnect.push_back(it->entry());
        }
    }
    for (const host_entry& it : to_reconnect) {
        outgoing_links_[it.host] = std::make_unique<outgoing_link>(*this, it);
    }
    for (const auto& [number, it] : incoming_links_) {
        it->on_tick(now, boot_time);
    }
    std::erase_if(incoming_links_, [](const auto& it) { return it.second->closed(); });
}

void job_links::accept()
{
    while (QTcpSocket* const socket = server_.nextPendingConnection()) {
        socket->setParent(nullptr);
        auto accepted = std::make_unique<incoming_link>(*this, socket);
        const link_number number = accepted->number();
        incoming_links_.emplace(number, std::move(accepted));
    }
}

} // namespace papayafall::jobs
