#include "random/jobs/dispatcher_model.hpp"

#include <chrono>
#include <type_traits>
#include <utility>
#include <variant>

namespace papayafall::random_runs {

namespace {

using std::chrono::milliseconds;

constexpr duration tick_period = milliseconds(10);
constexpr duration store_period = milliseconds(60);
constexpr duration link_period = milliseconds(200);
constexpr duration store_silence = milliseconds(4000);
constexpr duration claim_answer_time = milliseconds(900);
constexpr duration shutdown_time = milliseconds(5600);
constexpr duration last_answers_time = milliseconds(100);
constexpr const char* store_name = "store";

} // namespace

dispatcher_model::dispatcher_model(jobs::dispatcher_identity self, jobs::job_parameters parameters,
                                   surroundings around)
    : self_(std::move(self)), parameters_(parameters), around_(around)
{
}

void dispatcher_model::start()
{
    ++life_;
    self_.incarnation = incarnation_id(life_);
    around_.seen.note("start of " + name(), around_.time.now());
    engine_ = jobs::make_job_engine(self_, parameters_, jobs::standard_job_policies());
    entry_ = {.host = self_.host,
              .zone = self_.zone,
              .incarnation = self_.incarnation,
              .cpu_millis = self_.cpu_millis};
    jobs::queue_configuration_fields queues{.version = 1};
    queues.queues.push_back({.name = jobs::queue_name("check"),
                             .hostname = "desk.example",
                             .prefix = "/",
                             .service = service_name("desk"),
                             .max_attempts = 3,
                             .stretch = 2,
                             .objective_extra = milliseconds(200)});
    deliver(jobs::configuration_read{std::move(queues)});
    tick(life_);
    keep_store(life_);
    keep_links(life_);
}

void dispatcher_model::kill()
{
    around_.seen.note("end of " + name(), around_.time.now());
    ++life_;
    engine_.reset();
    suspended_ = false;
    backlog_.clear();
    known_.clear();
    lease_ = 0;
    reached_ = false;
    wanted_links_.clear();
    const auto outgoing = std::exchange(outgoing_, {});
    const auto incoming = std::exchange(incoming_, {});
    for (const auto& [host, it] : outgoing) {
        it->close(name());
    }
    for (const auto& [number, it] : incoming) {
        it->close(name());
    }
    for (const call_id it : std::exchange(calls_, {})) {
        around_.callers.on_disconnected(it);
    }
}

void dispatcher_model::suspend(duration length)
{
    if (suspended_) {
        return;
    }
    around_.seen.note("suspension of " + name(), around_.time.now());
    suspended_ = true;
    around_.time.after(length, [this, life = life_, length] {
        if (life != life_) {
            return;
        }
        suspended_ = false;
        deliver(jobs::process_resumed{length});
        for (const jobs::job_event& it : std::exchange(backlog_, {})) {
            deliver_in(life, it);
        }
    });
}

void dispatcher_model::stop()
{
    around_.seen.note("graceful stop of " + name(), around_.time.now());
    deliver(jobs::stop_requested{around_.time.now() + shutdown_time});
}

void dispatcher_model::submit(call_id call, const jobs::job_spec& job)
{
    calls_.push_back(call);
    const time_point now = around_.time.now();
    deliver(jobs::job_submitted{call, "desk.example", "/" + job->id.text(), job, now,
                                now + std::chrono::seconds(10)});
}

void dispatcher_model::hang_up(call_id call)
{
    std::erase(calls_, call);
    deliver(jobs::call_abandoned{call});
}

void dispatcher_model::accept(const std::shared_ptr<link_model>& link)
{
    incoming_[link->number()] = link;
}

link_end dispatcher_model::end_of_link()
{
    return {.host = name(),
            .incarnation = self_.incarnation,
            .deliver = [this, life = life_](const jobs::job_event& it) { deliver_in(life, it); },
            .running = [this, life = life_] { return life == life_ && alive() && !suspended_; }};
}

clock_reading dispatcher_model::reading() const
{
    return {around_.time.now(), wall_time{}};
}

void dispatcher_model::deliver(const jobs::job_event& it)
{
    if (!alive()) {
        return;
    }
    if (suspended_) {
        backlog_.push_back(it);
        return;
    }
    engine_->handle(it, reading());
    carry_out();
}

void dispatcher_model::deliver_in(std::uint64_t life, const jobs::job_event& it)
{
    if (life == life_) {
        deliver(it);
    }
}

void dispatcher_model::tick(std::uint64_t life)
{
    if (life != life_) {
        return;
    }
    if (!suspended_) {
        engine_->tick(reading());
        engine_->board().check_invariants();
        carry_out();
    }
    if (life == life_) {
        around_.time.after(tick_period, [this, life] { tick(life); });
    }
}

void dispatcher_model::keep_store(std::uint64_t life)
{
    if (life != life_) {
        return;
    }
    if (!suspended_) {
        if (around_.store.up() && around_.network.open(name(), store_name)) {
            contact_at_ = around_.time.now();
            if (lease_ == 0 || !around_.store.renew(lease_)) {
                lease_ = around_.store.open_lease();
                around_.store.put_host(entry_, lease_);
            }
            read_store();
        } else if (reached_ && around_.time.now() >= contact_at_ + store_silence) {
            reached_ = false;
            deliver(jobs::store_lost{});
        }
    }
    around_.time.after(store_period, [this, life] { keep_store(life); });
}

void dispatcher_model::read_store()
{
    const std::map<std::string, store_model::item> now = around_.store.items();
    const auto former = std::exchange(known_, now);
    for (const auto& [key, it] : now) {
        const auto known = former.find(key);
        if (known != former.end() && known->second.revision == it.revision) {
            continue;
        }
        if (const auto* worker = std::get_if<jobs::worker_fields>(&it.content)) {
            deliver(jobs::worker_listed{*worker});
        } else if (const auto* host = std::get_if<jobs::host_entry>(&it.content)) {
            deliver(jobs::host_listed{*host});
        } else if (const auto* claim = std::get_if<jobs::cell_claim>(&it.content)) {
            deliver(jobs::claim_listed{jobs::cell_id(key.substr(key.find('/') + 1)), *claim});
        }
    }
    for (const auto& [key, it] : former) {
        if (now.contains(key)) {
            continue;
        }
        const std::string name_part = key.substr(key.find('/') + 1);
        if (std::holds_alternative<jobs::worker_fields>(it.content)) {
            deliver(jobs::worker_unlisted{jobs::worker_id(name_part)});
        } else if (std::holds_alternative<jobs::host_entry>(it.content)) {
            deliver(jobs::host_unlisted{host_name(name_part)});
        } else {
            deliver(jobs::claim_unlisted{jobs::cell_id(name_part)});
        }
    }
    if (!reached_) {
        reached_ = true;
        deliver(jobs::store_reached{});
    }
}

void dispatcher_model::keep_links(std::uint64_t life)
{
    if (life != life_) {
        return;
    }
    if (!suspended_) {
        for (const auto& [host, entry] : wanted_links_) {
            const auto it = outgoing_.find(host);
            if (it == outgoing_.end() || it->second->opener_lost()) {
                connect(entry);
            }
        }
    }
    around_.time.after(link_period, [this, life] { keep_links(life); });
}

void dispatcher_model::connect(const jobs::host_entry& entry)
{
    const auto found = around_.hosts.find(entry.host);
    if (found == around_.hosts.end() || !found->second->alive() || found->second->suspended_ ||
        !around_.network.open(name(), entry.host.text())) {
        return;
    }
    static std::uint64_t last_link = 0;
    const auto link =
        std::make_shared<link_model>(end_of_link(), found->second->end_of_link(),
                                     jobs::link_number(++last_link), around_.time, around_.network);
    outgoing_[entry.host.text()] = link;
    found->second->accept(link);
    link->open();
}

void dispatcher_model::carry_out()
{
    const std::uint64_t life = life_;
    for (const jobs::job_action& it : engine_->take_actions()) {
        if (life != life_) {
            return;
        }
        std::visit([this](const auto& action) { act(action); }, it);
    }
}

void dispatcher_model::act(const jobs::answer_job& it)
{
    if (std::erase(calls_, it.call) > 0) {
        around_.callers.on_answer(it.call, it.outcome);
    }
}

void dispatcher_model::act(const jobs::claim_cell& it)
{
    const auto over = std::make_shared<bool>(false);
    const auto answer = [this, over, life = life_, cell = it.cell](jobs::claim_result result,
                                                                   jobs::store_revision revision) {
        if (!std::exchange(*over, true)) {
            deliver_in(life, jobs::claim_answered{cell, result, revision});
        }
    };
    around_.time.after(claim_answer_time, [answer] { answer(jobs::claim_result::unanswered, {}); });
    around_.network.carry(name(), store_name, [this, it, answer, lease = lease_, entry = entry_] {
        if (!around_.store.up()) {
            return;
        }
        const auto revision = around_.store.claim(it, entry, lease);
        around_.network.carry(store_name, name(), [answer, revision] {
            answer(revision ? jobs::claim_result::granted : jobs::claim_result::conflict,
                   revision.value_or(jobs::store_revision()));
        });
    });
}

void dispatcher_model::act(const jobs::release_cell& it)
{
    around_.network.carry(name(), store_name, [this, it] {
        if (around_.store.up()) {
            around_.store.release(it);
        }
    });
}

void dispatcher_model::act(const jobs::update_host_entry& it)
{
    entry_.leaving = it.leaving;
    if (lease_ != 0 && around_.store.up() && around_.network.open(name(), store_name)) {
        around_.store.put_host(entry_, lease_);
    }
}

void dispatcher_model::act(const jobs::connect_peer& it)
{
    wanted_links_[it.entry.host.text()] = it.entry;
}

void dispatcher_model::act(const jobs::disconnect_peer& it)
{
    wanted_links_.erase(it.host.text());
}

void dispatcher_model::act(const jobs::delegate_job& it)
{
    const auto found = outgoing_.find(it.to.text());
    if (found == outgoing_.end() || found->second->opener_lost()) {
        around_.time.after({}, [this, life = life_, it] {
            deliver_in(life, jobs::delegation_answered{it.delegation, jobs::job_outcome::refused});
        });
        return;
    }
    found->second->send_to_accepter(
        jobs::delegation_received{{found->second->number(), it.delegation}, it.order});
}

void dispatcher_model::act(const jobs::withdraw_delegation& it)
{
    const auto found = outgoing_.find(it.to.text());
    if (found != outgoing_.end()) {
        found->second->send_to_accepter(
            jobs::delegation_withdrawn{{found->second->number(), it.delegation}});
    }
}

void dispatcher_model::act(const jobs::answer_delegation& it)
{
    const auto found = incoming_.find(it.origin.link);
    if (found != incoming_.end()) {
        found->second->send_to_opener(jobs::delegation_answered{it.origin.delegation, it.outcome});
    }
}

void dispatcher_model::act(const jobs::publish_load& it)
{
    for (const auto& [number, link] : incoming_) {
        link->send_to_opener(jobs::load_reported{self_.host, it.load});
    }
}

void dispatcher_model::act(const jobs::release_worker& it)
{
    const auto found = outgoing_.find(it.to.text());
    if (found != outgoing_.end()) {
        found->second->send_to_accepter(jobs::worker_released{it.id});
    }
}

void dispatcher_model::act(const jobs::drop_links& /*it*/)
{
    // Another thread closes the links, after what it had read from them before.
    around_.time.after({}, [this, outgoing = std::exchange(outgoing_, {}),
                            incoming = std::exchange(incoming_, {})] {
        for (const auto& [host, it] : outgoing) {
            it->close(name());
        }
        for (const auto& [number, it] : incoming) {
            it->close(name());
        }
    });
}

void dispatcher_model::act(const jobs::start_run& it)
{
    call(
        it.to.id, it.give_up_at,
        jobs::start_answered{it.to.id, it.run, jobs::start_result::unanswered},
        jobs::start_answered{it.to.id, it.run, jobs::start_result::not_ready},
        [it](worker_model& worker, const auto& answer) {
            answer(jobs::start_answered{it.to.id, it.run, worker.start(it)});
        },
        true);
}

void dispatcher_model::act(const jobs::stop_run& it)
{
    call(
        it.to.id, it.give_up_at, jobs::stop_answered{it.to.id, it.run, false},
        jobs::stop_answered{it.to.id, it.run, false},
        [it](worker_model& worker, const auto& answer) {
            answer(jobs::stop_answered{it.to.id, it.run, worker.stop(it)});
        },
        true);
}

void dispatcher_model::act(const jobs::fetch_report& it)
{
    const time_point sent_at = around_.time.now();
    const auto failed = [it, sent_at](jobs::call_failure reason) {
        return jobs::report_failed{it.to.id, it.to.token, reason, sent_at, it.waits};
    };
    call(
        it.to.id, it.give_up_at, failed(jobs::call_failure::timed_out),
        failed(jobs::call_failure::refused),
        [it, sent_at, failed](worker_model& worker, const auto& answer) {
            worker.report(it, [it, sent_at, failed, answer](const auto& result) {
                if (const auto* failure = std::get_if<jobs::call_failure>(&result)) {
                    answer(failed(*failure));
                    return;
                }
                answer(jobs::report_received{it.to.id, it.to.token,
                                             std::get<jobs::worker_report>(result), sent_at,
                                             it.waits});
            });
        },
        false);
}

void dispatcher_model::act(const jobs::stop_dispatcher& /*it*/)
{
    around_.time.after(last_answers_time, [this, life = life_] {
        if (life != life_) {
            return;
        }
        if (around_.store.up() && around_.network.open(name(), store_name)) {
            around_.store.end_lease(lease_);
        }
        kill();
    });
}

void dispatcher_model::act(const jobs::log_decision& it)
{
    std::string line = name() + " " + it.decision + " " + it.subject;
    for (const auto& [key, text] : it.inputs) {
        line += std::string(" ") + key + "=" + text;
    }
    around_.seen.note(std::move(line), around_.time.now());
}

void dispatcher_model::call(
    const jobs::worker_id& at, time_point give_up_at, const jobs::job_event& unanswered,
    const jobs::job_event& gone,
    const std::function<void(worker_model&, const std::function<void(jobs::job_event)>&)>& execute,
    bool order)
{
    constexpr std::uint64_t late_share = 20;
    const auto over = std::make_shared<bool>(false);
    const auto settle = [this, over, life = life_](const jobs::job_event& it) {
        if (!std::exchange(*over, true)) {
            deliver_in(life, it);
        }
    };
    around_.time.after(give_up_at - around_.time.now(),
                       [settle, unanswered] { settle(unanswered); });
    worker_model& worker = *around_.workers.at(at);
    if (order && around_.late_orders && around_.chance.percent(late_share)) {
        around_.time.after(around_.chance.milliseconds(300, 8000),
                           [&worker, execute, served_by = worker.life()] {
                               if (worker.up() && worker.life() == served_by) {
                                   execute(worker, [](const jobs::job_event&) {});
                               }
                           });
        return;
    }
    around_.network.carry(name(), at.text(), [this, &worker, at, execute, settle, gone] {
        const auto answer = [this, at, settle](const jobs::job_event& it) {
            around_.network.carry(at.text(), name(), [settle, it] { settle(it); });
        };
        if (!worker.up()) {
            answer(gone);
            return;
        }
        execute(worker, answer);
    });
}

} // namespace papayafall::random_runs
