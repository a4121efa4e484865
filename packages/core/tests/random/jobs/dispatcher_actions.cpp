#include "random/jobs/dispatcher_model.hpp"

#include <chrono>
#include <utility>
#include <variant>

namespace papayafall::random_runs {

namespace {

using std::chrono::milliseconds;

constexpr duration claim_timeout = milliseconds(900);
constexpr duration final_answers_delay = milliseconds(100);
} // namespace

void dispatcher_model::perform(const jobs::answer_job& it)
{
    if (std::erase(calls_, it.call) > 0) {
        context_.callers.on_answer(it.call, it.outcome);
    }
}

void dispatcher_model::perform(const jobs::answer_job_status& it)
{
    context_.callers.on_status(it.call, it.status);
}

void dispatcher_model::perform(const jobs::follow_workers& it)
{
    follows_workers_ = it.follow;
}

void dispatcher_model::perform(const jobs::claim_cell& it)
{
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, answered, generation = generation_,
                         cell = it.cell](jobs::claim_result result, jobs::store_revision revision) {
        if (!std::exchange(*answered, true)) {
            deliver_if_current(generation, jobs::claim_answered{cell, result, revision});
        }
    };
    context_.time.after(claim_timeout, [answer] { answer(jobs::claim_result::unanswered, {}); });
    context_.network.carry(name(), store_name, [this, it, answer, lease = lease_, entry = entry_] {
        if (!context_.store.up()) {
            return;
        }
        const auto revision = context_.store.claim(it, entry, lease);
        context_.network.carry(store_name, name(), [answer, revision] {
            answer(revision ? jobs::claim_result::granted : jobs::claim_result::conflict,
                   revision.value_or(jobs::store_revision()));
        });
    });
}

void dispatcher_model::perform(const jobs::release_cell& it)
{
    context_.network.carry(name(), store_name, [this, it] {
        if (context_.store.up()) {
            context_.store.release(it);
        }
    });
}

void dispatcher_model::perform(const jobs::update_host_entry& it)
{
    entry_.leaving = it.leaving;
    if (lease_ != 0 && context_.store.up() && context_.network.open(name(), store_name)) {
        context_.store.put_host(entry_, lease_);
    }
}

void dispatcher_model::perform(const jobs::connect_peer& it)
{
    configured_peers_[it.entry.host.text()] = it.entry;
}

void dispatcher_model::perform(const jobs::disconnect_peer& it)
{
    configured_peers_.erase(it.host.text());
}

void dispatcher_model::perform(const jobs::delegate_job& it)
{
    const auto found = outgoing_links_.find(it.to.text());
    if (found == outgoing_links_.end() || found->second->opener_lost()) {
        context_.time.after({}, [this, generation = generation_, it] {
            deliver_if_current(
                generation,
                jobs::delegation_answered{it.delegation,
                                          jobs::job_outcome::refused,
                                          {.reason = jobs::refusal_reason::dispatcher_unlinked}});
        });
        return;
    }
    found->second->send_to_accepter(
        jobs::delegation_received{{found->second->number(), it.delegation}, it.order});
}

void dispatcher_model::perform(const jobs::withdraw_delegation& it)
{
    const auto found = outgoing_links_.find(it.to.text());
    if (found != outgoing_links_.end()) {
        found->second->send_to_accepter(
            jobs::delegation_withdrawn{{found->second->number(), it.delegation}});
    }
}

void dispatcher_model::perform(const jobs::answer_delegation& it)
{
    const auto found = incoming_links_.find(it.origin.link);
    if (found != incoming_links_.end()) {
        found->second->send_to_opener(
            jobs::delegation_answered{it.origin.delegation, it.outcome, it.refusal});
    }
}

void dispatcher_model::perform(const jobs::publish_load& it)
{
    for (const auto& [number, link] : incoming_links_) {
        link->send_to_opener(jobs::load_reported{self_.host, it.load});
    }
}

void dispatcher_model::perform(const jobs::release_worker& it)
{
    const auto found = outgoing_links_.find(it.to.text());
    if (found != outgoing_links_.end()) {
        found->second->send_to_accepter(jobs::worker_released{it.id});
    }
}

void dispatcher_model::perform(const jobs::publish_configuration_version& it)
{
    for (const auto& [host, link] : outgoing_links_) {
        link->send_to_accepter(jobs::configuration_offered{link->number(), it.version});
    }
    for (const auto& [number, link] : incoming_links_) {
        link->send_to_opener(jobs::configuration_offered{number, it.version});
    }
}

void dispatcher_model::perform(const jobs::publish_task_crashes& it)
{
    send_to_all(jobs::task_crashes_reported{it.task, it.crashes});
}

void dispatcher_model::perform(const jobs::publish_evacuation& it)
{
    published_evacuations_[it.request.zone] = it.request;
    send_to_all(jobs::zone_evacuation_reported{it.request, self_.host});
}

void dispatcher_model::send_to_all(const jobs::job_event& it)
{
    for (const auto& [host, link] : outgoing_links_) {
        link->send_to_accepter(it);
    }
    for (const auto& [number, link] : incoming_links_) {
        link->send_to_opener(it);
    }
}

std::function<void(const jobs::job_event&)>
dispatcher_model::sender_of(jobs::link_number number) const
{
    if (const auto it = incoming_links_.find(number); it != incoming_links_.end()) {
        return [link = it->second](const jobs::job_event& event) { link->send_to_opener(event); };
    }
    for (const auto& [host, it] : outgoing_links_) {
        if (it->number() == number) {
            return [link = it](const jobs::job_event& event) { link->send_to_accepter(event); };
        }
    }
    return [](const jobs::job_event&) {};
}

void dispatcher_model::perform(const jobs::publish_cancellation& it)
{
    send_to_all(jobs::job_cancellation_reported{it.cancellation});
}

void dispatcher_model::perform(const jobs::send_cancellation& it)
{
    sender_of(it.link)(jobs::job_cancellation_reported{it.cancellation});
}

void dispatcher_model::perform(const jobs::request_cancellation& it)
{
    const auto found = outgoing_links_.find(it.to.text());
    if (found != outgoing_links_.end()) {
        found->second->send_to_accepter(
            jobs::job_cancellation_requested{found->second->number(), it.cancellation});
    }
}

void dispatcher_model::perform(const jobs::answer_cancellation& it)
{
    sender_of(it.link)(jobs::job_cancellation_answered{self_.host, it.job, it.found});
}

void dispatcher_model::perform(const jobs::request_configuration& it)
{
    sender_of(it.link)(jobs::configuration_requested{it.link});
}

void dispatcher_model::perform(const jobs::send_configuration& it)
{
    sender_of(it.link)(jobs::configuration_read{it.configuration, self_.host});
}

void dispatcher_model::perform(const jobs::close_links& /*it*/)
{
    // In the process, another thread closes the connections after delivering what it has read from
    // them, so the model closes them in a later step.
    context_.time.after({}, [this, outgoing = std::exchange(outgoing_links_, {}),
                             incoming = std::exchange(incoming_links_, {})] {
        for (const auto& [host, it] : outgoing) {
            it->close(name());
        }
        for (const auto& [number, it] : incoming) {
            it->close(name());
        }
    });
}

void dispatcher_model::perform(const jobs::start_run& it)
{
    check_evacuation(it);
    call(
        it.to.id, it.timeout_at,
        jobs::start_answered{it.to.id, it.run, jobs::start_result::unanswered},
        jobs::start_answered{it.to.id, it.run, jobs::start_result::connection_refused},
        [it](worker_model& worker, const auto& answer) {
            answer(jobs::start_answered{it.to.id, it.run, worker.start(it)});
        },
        true);
}

void dispatcher_model::perform(const jobs::stop_run& it)
{
    call(
        it.to.id, it.timeout_at, jobs::stop_answered{it.to.id, it.run, false},
        jobs::stop_answered{it.to.id, it.run, false},
        [it](worker_model& worker, const auto& answer) {
            answer(jobs::stop_answered{it.to.id, it.run, worker.stop(it)});
        },
        true);
}

void dispatcher_model::perform(const jobs::fetch_report& it)
{
    const time_point sent_at = context_.time.now();
    const auto failed = [it, sent_at](jobs::call_failure reason) {
        return jobs::report_failed{it.to.id, it.to.token, reason, sent_at, it.long_poll};
    };
    call(
        it.to.id, it.timeout_at, failed(jobs::call_failure::timed_out),
        failed(jobs::call_failure::connection_refused),
        [it, sent_at, failed](worker_model& worker, const auto& answer) {
            worker.report(it, [it, sent_at, failed, answer](const auto& result) {
                if (const auto* failure = std::get_if<jobs::call_failure>(&result)) {
                    answer(failed(*failure));
                    return;
                }
                answer(jobs::report_received{it.to.id, it.to.token,
                                             std::get<jobs::worker_report>(result), sent_at,
                                             it.long_poll});
            });
        },
        false);
}

void dispatcher_model::perform(const jobs::stop_dispatcher& /*it*/)
{
    context_.time.after(final_answers_delay, [this, generation = generation_] {
        if (generation != generation_) {
            return;
        }
        if (context_.store.up() && context_.network.open(name(), store_name)) {
            context_.store.revoke_lease(lease_);
        }
        kill();
    });
}

void dispatcher_model::perform(const jobs::log_decision& it)
{
    std::string line = name() + " " + it.decision + " " + it.subject;
    for (const auto& [key, text] : it.inputs) {
        line += std::string(" ") + key + "=" + text;
    }
    context_.history.note(std::move(line), context_.time.now());
}

void dispatcher_model::call(
    const jobs::worker_id& id, time_point timeout_at, const jobs::job_event& unanswered,
    const jobs::job_event& refused,
    const std::function<void(worker_model&, const std::function<void(jobs::job_event)>&)>& execute,
    bool may_delay)
{
    constexpr std::uint64_t delayed_call_percent = 20;
    const auto answered = std::make_shared<bool>(false);
    const auto settle = [this, answered, generation = generation_](const jobs::job_event& it) {
        if (!std::exchange(*answered, true)) {
            deliver_if_current(generation, it);
        }
    };
    context_.time.after(timeout_at - context_.time.now(),
                        [settle, unanswered] { settle(unanswered); });
    worker_model& worker = *context_.workers.at(id);
    if (may_delay && context_.delay_worker_calls && context_.rng.percent(delayed_call_percent)) {
        context_.time.after(context_.rng.milliseconds(300, 8000),
                            [&worker, execute, generation_at_send = worker.generation()] {
                                if (worker.up() && worker.generation() == generation_at_send) {
                                    execute(worker, [](const jobs::job_event&) {});
                                }
                            });
        return;
    }
    context_.network.carry(name(), id.text(), [this, &worker, id, execute, settle, refused] {
        const auto carry = [this, id, settle](const jobs::job_event& it) {
            context_.network.carry(id.text(), name(), [settle, it] { settle(it); });
        };
        if (!worker.up() || worker.rejects_connections()) {
            carry(refused);
            return;
        }
        execute(worker, [&worker, carry](const jobs::job_event& it) {
            if (!worker.rejects_connections()) {
                carry(it);
            }
        });
    });
}

} // namespace papayafall::random_runs
