#include "random/jobs/dispatcher_model.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace papayafall::random_runs {

namespace {

using std::chrono::milliseconds;

constexpr duration tick_period = milliseconds(10);
constexpr duration store_poll_period = milliseconds(60);
constexpr duration link_retry_period = milliseconds(200);
constexpr duration store_timeout = milliseconds(4000);
constexpr duration shutdown_timeout = milliseconds(5600);

} // namespace

dispatcher_model::dispatcher_model(jobs::dispatcher_identity self, jobs::job_parameters parameters,
                                   simulation_context context)
    : self_(std::move(self)), parameters_(parameters), context_(context)
{
}

void dispatcher_model::start()
{
    ++generation_;
    self_.incarnation = incarnation_id(generation_);
    context_.history.note("start of " + name(), context_.time.now());
    engine_ = jobs::make_job_engine(self_, parameters_, jobs::standard_job_policies());
    entry_ = {.host = self_.host,
              .zone = self_.zone,
              .incarnation = self_.incarnation,
              .cpu_millis = self_.cpu_millis};
    last_store_configuration_ = 0;
    last_evacuations_.clear();
    evacuated_since_.clear();
    published_evacuations_.clear();
    outdated_since_ = no_deadline;
    tick(generation_);
    poll_store(generation_);
    reconnect_links(generation_);
}

void dispatcher_model::kill()
{
    context_.history.host_ended(name(), context_.time.now());
    ++generation_;
    engine_.reset();
    suspended_ = false;
    deferred_events_.clear();
    buffered_requests_.clear();
    last_store_items_.clear();
    follows_workers_ = true;
    lease_ = 0;
    store_reachable_ = false;
    configured_peers_.clear();
    const auto outgoing = std::exchange(outgoing_links_, {});
    const auto incoming = std::exchange(incoming_links_, {});
    for (const auto& [host, it] : outgoing) {
        it->close(name());
    }
    for (const auto& [number, it] : incoming) {
        it->close(name());
    }
    for (const call_id it : std::exchange(calls_, {})) {
        context_.callers.on_disconnected(it);
    }
}

void dispatcher_model::suspend(duration length)
{
    if (suspended_) {
        return;
    }
    context_.history.note("suspension of " + name(), context_.time.now());
    suspended_ = true;
    context_.time.after(length, [this, generation = generation_, length] {
        if (generation != generation_) {
            return;
        }
        suspended_ = false;
        deliver(jobs::process_resumed{length});
        for (const jobs::job_submitted& it : std::exchange(buffered_requests_, {})) {
            deliver_if_current(generation, it);
        }
        for (const jobs::job_event& it : std::exchange(deferred_events_, {})) {
            deliver_if_current(generation, it);
        }
    });
}

void dispatcher_model::stop()
{
    context_.history.note("graceful stop of " + name(), context_.time.now());
    deliver(jobs::stop_requested{context_.time.now() + shutdown_timeout});
}

void dispatcher_model::submit(call_id call, const jobs::job_spec& job, time_point answer_by)
{
    calls_.push_back(call);
    const time_point now = context_.time.now();
    const jobs::job_submitted submitted{call, "desk.example", "/" + job->id.text(), job,
                                        now,  answer_by};
    if (suspended_) {
        buffered_requests_.push_back(submitted);
    } else {
        deliver(submitted);
    }
}

void dispatcher_model::cancel(call_id call, const jobs::job_id& job)
{
    deliver(jobs::job_status_requested{call, "desk.example", "/" + job.text(), job, true});
}

void dispatcher_model::abandon_call(call_id call, bool noticed)
{
    std::erase(calls_, call);
    if (!noticed) {
        return;
    }
    std::erase_if(buffered_requests_, [call](const auto& it) { return it.call == call; });
    deliver(jobs::call_abandoned{call});
}

void dispatcher_model::accept(const std::shared_ptr<link_model>& link)
{
    incoming_links_[link->number()] = link;
}

link_end dispatcher_model::make_link_end()
{
    return {.host = name(),
            .incarnation = self_.incarnation,
            .deliver = [this, generation = generation_](
                           const jobs::job_event& it) { deliver_if_current(generation, it); },
            .running =
                [this, generation = generation_] {
                    return generation == generation_ && alive() && !suspended_;
                }};
}

clock_reading dispatcher_model::reading() const
{
    return {context_.time.now(), wall_time{}};
}

void dispatcher_model::deliver(const jobs::job_event& it)
{
    if (!alive()) {
        return;
    }
    if (suspended_) {
        deferred_events_.push_back(it);
        return;
    }
    engine_->handle(it, reading());
    perform_actions();
}

void dispatcher_model::deliver_if_current(std::uint64_t generation, const jobs::job_event& it)
{
    if (generation == generation_) {
        deliver(it);
    }
}

void dispatcher_model::tick(std::uint64_t generation)
{
    if (generation != generation_) {
        return;
    }
    if (!suspended_) {
        engine_->tick(reading());
        engine_->board().check_invariants();
        perform_actions();
    }
    if (generation == generation_) {
        context_.time.after(tick_period, [this, generation] { tick(generation); });
    }
}

void dispatcher_model::poll_store(std::uint64_t generation)
{
    if (generation != generation_) {
        return;
    }
    if (!suspended_) {
        if (context_.store.up() && context_.network.open(name(), store_name)) {
            last_store_contact_at_ = context_.time.now();
            if (lease_ == 0 || !context_.store.renew(lease_)) {
                lease_ = context_.store.create_lease();
                context_.store.put_host(entry_, lease_);
            }
            read_configuration();
            read_evacuations();
            read_store();
        } else if (store_reachable_ &&
                   context_.time.now() >= last_store_contact_at_ + store_timeout) {
            store_reachable_ = false;
            deliver(jobs::store_lost{});
        }
    }
    context_.time.after(store_poll_period, [this, generation] { poll_store(generation); });
}

void dispatcher_model::read_store()
{
    std::map<std::string, store_model::item> current = context_.store.items();
    const auto is_worker = [](const auto& it) {
        return std::holds_alternative<jobs::worker_fields>(it.second.content);
    };
    if (!follows_workers_) {
        std::erase_if(current, is_worker);
        for (const auto& it : last_store_items_) {
            if (is_worker(it)) {
                current.insert(it);
            }
        }
    }
    const auto previous = std::exchange(last_store_items_, current);
    for (const auto& [key, it] : current) {
        const auto known = previous.find(key);
        if (known != previous.end() && known->second.revision == it.revision) {
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
    for (const auto& [key, it] : previous) {
        if (current.contains(key)) {
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
    if (follows_workers_) {
        deliver(jobs::workers_followed{});
    }
    if (!store_reachable_) {
        store_reachable_ = true;
        deliver(jobs::store_reached{});
    }
}

void dispatcher_model::read_evacuations()
{
    const std::map<zone_name, jobs::store_revision> current = context_.store.evacuations();
    const auto previous = std::exchange(last_evacuations_, current);
    for (const auto& [zone, revision] : previous) {
        if (!current.contains(zone)) {
            evacuated_since_.erase(zone);
            deliver(jobs::zone_evacuation_unlisted{zone});
        }
    }
    for (const auto& [zone, revision] : current) {
        const auto known = previous.find(zone);
        if (known == previous.end() || known->second != revision) {
            evacuated_since_[zone] = context_.time.now();
            deliver(jobs::zone_evacuation_listed{zone, revision});
        }
    }
    deliver(jobs::zone_evacuations_confirmed{context_.store.revision()});
}

void dispatcher_model::check_evacuation(const jobs::start_run& it) const
{
    constexpr duration max_delay = milliseconds(600);
    const zone_name zone = context_.workers.at(it.to.id)->entry().zone;
    const auto known = last_evacuations_.find(zone);
    const auto current = context_.store.evacuations().find(zone);
    if (known == last_evacuations_.end() || current == context_.store.evacuations().end() ||
        known->second != current->second) {
        return; // not read yet, or taken back, which a linked host may have told
    }
    if (context_.time.now() > evacuated_since_.at(zone) + max_delay) {
        context_.history.fail(name() + " sends a start to an evacuated zone", context_.time.now());
    }
}

void dispatcher_model::read_configuration()
{
    const std::uint64_t version = context_.store.configuration_version();
    if (std::exchange(last_store_configuration_, version) == version) {
        return;
    }
    jobs::queue_configuration_fields queues{.version = version};
    queues.queues.push_back({.name = jobs::queue_name("check"),
                             .hostname = "desk.example",
                             .path_prefix = "/",
                             .service = service_name("desk"),
                             .max_attempts = 3,
                             .objective_factor = 2,
                             .objective_offset = milliseconds(200)});
    deliver(jobs::configuration_read{std::move(queues), {}});
}

std::uint64_t dispatcher_model::configuration_version() const
{
    return alive() ? (*engine_->board().configuration)->version : 0;
}

void dispatcher_model::check_configuration()
{
    constexpr duration max_outdated_time = milliseconds(1500);
    const auto is_newer = [this](const std::string& host, const link_model& link) {
        return link.up() && context_.hosts.at(host_name(host))->configuration_version() >
                                configuration_version();
    };
    bool outdated = false;
    for (const auto& [host, it] : outgoing_links_) {
        outdated = outdated || is_newer(host, *it);
    }
    for (const auto& [number, it] : incoming_links_) {
        outdated = outdated || is_newer(it->opener(), *it);
    }
    const time_point now = context_.time.now();
    outdated_since_ = outdated ? std::min(outdated_since_, now) : no_deadline;
    if (outdated && now > outdated_since_ + max_outdated_time) {
        context_.history.fail(name() + " keeps an older configuration than a linked host", now);
    }
}

void dispatcher_model::reconnect_links(std::uint64_t generation)
{
    if (generation != generation_) {
        return;
    }
    if (!suspended_) {
        for (const auto& [host, entry] : configured_peers_) {
            const auto it = outgoing_links_.find(host);
            if (it == outgoing_links_.end() || it->second->opener_lost()) {
                connect(entry);
            }
        }
    }
    context_.time.after(link_retry_period, [this, generation] { reconnect_links(generation); });
}

void dispatcher_model::connect(const jobs::host_entry& entry)
{
    const auto found = context_.hosts.find(entry.host);
    if (found == context_.hosts.end() || !found->second->alive() || found->second->suspended_ ||
        !context_.network.open(name(), entry.host.text())) {
        return;
    }
    static std::uint64_t last_link = 0;
    const auto link = std::make_shared<link_model>(make_link_end(), found->second->make_link_end(),
                                                   jobs::link_number(++last_link), context_.time,
                                                   context_.network);
    outgoing_links_[entry.host.text()] = link;
    found->second->accept(link);
    link->open();
    link->send_to_accepter(jobs::configuration_offered{link->number(), configuration_version()});
    for (const auto& [zone, it] : published_evacuations_) {
        link->send_to_accepter(jobs::zone_evacuation_reported{it, self_.host});
    }
    for (const auto& [zone, it] : found->second->published_evacuations_) {
        link->send_to_opener(jobs::zone_evacuation_reported{it, found->second->self_.host});
    }
    link->send_to_opener(
        jobs::configuration_offered{link->number(), found->second->configuration_version()});
}

void dispatcher_model::perform_actions()
{
    const std::uint64_t generation = generation_;
    for (const jobs::job_action& it : engine_->take_actions()) {
        if (generation != generation_) {
            return;
        }
        std::visit([this](const auto& action) { perform(action); }, it);
    }
}

} // namespace papayafall::random_runs
