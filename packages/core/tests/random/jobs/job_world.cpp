#include "random/jobs/job_world.hpp"

#include <algorithm>
#include <utility>

namespace papayafall::random_runs {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t max_attempts = 4;
/// Time after which a caller submits a job again.
constexpr duration resubmission_delay = milliseconds(1300);
/// Times for which callers wait for an answer.
constexpr duration short_answer_timeout = milliseconds(1500);
constexpr duration long_answer_timeout = std::chrono::seconds(10);
/// All attempts of a job fit in.
constexpr duration drain_time = std::chrono::seconds(60);
/// Time that hosts and workers get before the first job is submitted.
constexpr duration warm_up_time = std::chrono::seconds(4);

const std::vector<std::string> zones{"a", "b"};

} // namespace

job_world::job_world(std::uint64_t seed) : rng_(seed), network_(time_, rng_), store_(time_)
{
    make_workers();
    make_hosts();
}

simulation_context job_world::context()
{
    return {.time = time_,
            .rng = rng_,
            .network = network_,
            .store = store_,
            .history = history_,
            .callers = *this,
            .workers = workers_,
            .hosts = hosts_,
            .delay_worker_calls = delay_worker_calls_};
}

void job_world::make_workers()
{
    const bool enforces_capacity = rng_.percent(50);
    const std::uint64_t count = rng_.between(4, 10);
    for (std::uint64_t n = 0; n < count; ++n) {
        const std::string id = "w" + std::to_string(n);
        jobs::worker_fields entry{.id = jobs::worker_id(id),
                                  .service = service_name("desk"),
                                  .address = {"127.0.0.1", 1},
                                  .zone = zone_name(zones[n % zones.size()]),
                                  .capacity = {.cpu_millis = 64'000, .memory_mb = 1000}};
        workers_[entry.id] =
            std::make_unique<worker_model>(entry, enforces_capacity, time_, rng_, history_,
                                           [this](worker_model& it) { crash_worker(it); });
        store_.put_worker(workers_[entry.id]->entry());
    }
}

void job_world::make_hosts()
{
    const jobs::job_parameters parameters{.cells_per_zone =
                                              static_cast<std::uint32_t>(rng_.between(1, 4))};
    const std::uint64_t count = rng_.between(2, 6);
    for (std::uint64_t n = 0; n < count; ++n) {
        const std::string host = "h" + std::to_string(n);
        jobs::dispatcher_identity self{.host = host_name(host),
                                       .zone = zone_name(zones[n % zones.size()]),
                                       .cpu_millis =
                                           static_cast<std::int64_t>(rng_.between(1, 4)) * 100};
        for (const std::string& it : zones) {
            self.platform_zones.emplace_back(it);
        }
        hosts_[self.host] = std::make_unique<dispatcher_model>(self, parameters, context());
    }
    for (const auto& [name, it] : hosts_) {
        it->start();
    }
}

job_run_summary job_world::run(std::chrono::seconds length)
{
    time_.after(warm_up_time, [this] {
        schedule_submissions();
        schedule_faults();
        schedule_configuration_changes();
        schedule_evacuations();
    });
    schedule_configuration_checks();
    time_.run(time_.now() + warm_up_time + length);
    draining_ = true;
    clear_faults();
    time_.run(time_.now() + drain_time);
    history_.finish(time_.now());
    return {.jobs = last_job_,
            .attempts = last_call_,
            .served = history_.served(),
            .starts = history_.starts(),
            .faults = faults_,
            .crashes = history_.crashes()};
}

void job_world::on_answer(call_id call, jobs::job_outcome outcome)
{
    const auto found = calls_.extract(call);
    if (found.empty()) {
        return;
    }
    const attempt& it = found.mapped();
    history_.answered(it.job->id, it.number, outcome, time_.now());
    if (outcome == jobs::job_outcome::refused || outcome == jobs::job_outcome::interrupted) {
        maybe_resubmit(it);
    }
}

void job_world::on_disconnected(call_id call)
{
    const auto found = calls_.extract(call);
    if (found.empty()) {
        return;
    }
    history_.disconnected(found.mapped().job->id, found.mapped().number);
    maybe_resubmit(found.mapped());
}

void job_world::on_status(call_id call, jobs::job_status status)
{
    const auto found = cancellations_.extract(call);
    if (found.empty()) {
        return;
    }
    const cancellation& it = found.mapped();
    if (status != jobs::job_status::cancelled && status != jobs::job_status::unknown) {
        time_.after(milliseconds(500), [this, it] { cancel(it.job, it.attempts); });
        return;
    }
    history_.cancelled(it.job->id, time_.now());
    if (rng_.percent(60)) { // a copy of an earlier request was held up on its way
        time_.after(rng_.milliseconds(100, 30'000),
                    [this, job = it.job] { submit(job, max_attempts); });
    }
}

void job_world::cancel(const jobs::job_spec& job, std::uint64_t attempts)
{
    dispatcher_model* const host = random_live_host();
    if (host == nullptr || attempts == 0) {
        return;
    }
    const call_id call(++last_call_);
    cancellations_[call] = {job, attempts - 1};
    host->cancel(call, job->id);
}

void job_world::maybe_resubmit(const attempt& previous)
{
    if (previous.number == max_attempts || rng_.percent(30)) {
        return;
    }
    time_.after(resubmission_delay + rng_.milliseconds(0, 50),
                [this, previous] { submit(previous.job, previous.number + 1); });
}

void job_world::schedule_submissions()
{
    if (draining_) {
        return;
    }
    submit(make_job(), 1);
    time_.after(rng_.milliseconds(5, 120), [this] { schedule_submissions(); });
}

void job_world::submit(const jobs::job_spec& job, std::uint64_t number)
{
    dispatcher_model* const host = random_live_host();
    if (host == nullptr) {
        return;
    }
    const call_id call(++last_call_);
    const duration patience = rng_.percent(30) ? short_answer_timeout : long_answer_timeout;
    const time_point answer_by = time_.now() + patience;
    calls_[call] = {job, number, host->name(), answer_by};
    history_.submitted(job, number, time_.now());
    host->submit(call, job, answer_by);
    time_.after(patience, [this, call, host] { leave(call, *host); });
    if (rng_.percent(2)) {
        time_.after(rng_.milliseconds(1, 400), [this, call, host] { leave(call, *host); });
    }
    if (number == 1 && rng_.percent(4)) {
        time_.after(rng_.milliseconds(1, 600), [this, job] { cancel(job, max_attempts); });
    }
}

void job_world::leave(call_id call, dispatcher_model& host)
{
    if (!calls_.contains(call) || !host.alive()) {
        return;
    }
    // Before the deadline, only the end of the connection tells the host.
    const bool at_deadline = time_.now() >= calls_.at(call).answer_by;
    host.abandon_call(call, !at_deadline || rng_.percent(70));
    on_disconnected(call);
}

jobs::job_spec job_world::make_job()
{
    std::string id = std::to_string(++last_job_);
    id.insert(0, 16 - std::min<std::size_t>(16, id.size()), '0');
    const jobs::resources need{.cpu_millis = static_cast<std::int64_t>(rng_.between(8, 40)) * 1000,
                               .memory_mb = 10};
    const std::uint64_t run_ms = rng_.percent(5) ? rng_.between(800, 4000) : rng_.between(20, 300);
    const jobs::label_name kind =
        rng_.percent(20) ? worker_kind(rng_.percent(50)) : jobs::label_name();
    jobs::job_spec_fields job{.id = jobs::job_id(id),
                              .payload = payload_of(run_ms, need, rng_.percent(1), kind),
                              .options = {.best_effort = true}};
    const std::uint64_t steps = rng_.percent(25) ? 2 : 1;
    for (std::uint64_t n = 0; n < steps; ++n) {
        jobs::job_step step{.count = static_cast<std::uint32_t>(rng_.between(1, 6)),
                            .need = need,
                            .estimated_run_time = milliseconds(run_ms),
                            .required_label = kind};
        if (n > 0) {
            step.predecessors.push_back(static_cast<std::uint32_t>(n - 1));
        }
        job.steps.push_back(step);
    }
    return job;
}

void job_world::schedule_faults()
{
    if (draining_) {
        return;
    }
    inject_fault();
    time_.after(rng_.milliseconds(200, 6000), [this] { schedule_faults(); });
}

void job_world::schedule_configuration_changes()
{
    if (draining_) {
        return;
    }
    store_.change_configuration();
    time_.after(rng_.milliseconds(100, 8000), [this] { schedule_configuration_changes(); });
}

void job_world::schedule_evacuations()
{
    if (draining_) {
        return;
    }
    const zone_name zone(zones[rng_.between(0, zones.size() - 1)]);
    history_.note("evacuation of " + zone.text(), time_.now());
    store_.evacuate(zone, true);
    const duration length = rng_.milliseconds(1000, 9000);
    time_.after(length, [this, zone] { store_.evacuate(zone, false); });
    time_.after(length + rng_.milliseconds(500, 9000), [this] { schedule_evacuations(); });
}

void job_world::schedule_configuration_checks()
{
    constexpr duration check_period = milliseconds(100);
    for (const auto& [name, it] : hosts_) {
        it->check_configuration();
    }
    time_.after(check_period, [this] { schedule_configuration_checks(); });
}

void job_world::inject_fault()
{
    ++faults_;
    dispatcher_model* const host = random_live_host();
    switch (rng_.between(0, 11)) {
    case 0:
    case 1:
        if (host != nullptr) {
            kill_host(*host);
        }
        break;
    case 2:
        if (host != nullptr) {
            const duration length = rng_.milliseconds(150, 5000);
            history_.hosts_disturbed(time_.now() + length);
            host->suspend(length);
        }
        break;
    case 3:
        if (host != nullptr) {
            const duration down_time = rng_.milliseconds(7000, 9000);
            history_.hosts_disturbed(time_.now() + down_time);
            host->stop();
            time_.after(down_time, [host] {
                if (!host->alive()) {
                    host->start();
                }
            });
        }
        break;
    case 4:
    case 5:
        cut_network_paths();
        break;
    case 6:
        make_store_unavailable();
        break;
    case 7:
        history_.note("store leases revoked", time_.now());
        store_.revoke_all_leases();
        break;
    case 8:
        crash_random_worker();
        break;
    case 9:
    case 10:
        reject_connections_to_workers();
        break;
    default:
        delay_worker_calls_ = true;
        time_.after(rng_.milliseconds(500, 3000), [this] { delay_worker_calls_ = false; });
    }
}

void job_world::kill_host(dispatcher_model& host)
{
    const duration down_time = rng_.milliseconds(100, 4000);
    host.kill();
    history_.hosts_disturbed(time_.now() + down_time);
    time_.after(down_time, [&host] {
        if (!host.alive()) {
            host.start();
        }
    });
}

void job_world::cut_network_paths()
{
    std::vector<std::string> programs{"store"};
    for (const auto& [name, it] : hosts_) {
        programs.push_back(name.text());
    }
    for (const auto& [id, it] : workers_) {
        programs.push_back(id.text());
    }
    dispatcher_model* const host = random_live_host();
    if (host == nullptr) {
        return;
    }
    history_.note("network paths cut around " + host->name(), time_.now());
    const std::uint64_t share = rng_.between(10, 100);
    for (const std::string& it : programs) {
        if (it != host->name() && rng_.percent(share)) {
            network_.cut(host->name(), it);
        }
    }
    const duration length = rng_.milliseconds(100, 9000);
    history_.hosts_disturbed(time_.now() + length);
    time_.after(length, [this] { network_.restore_all(); });
}

void job_world::make_store_unavailable()
{
    history_.note("store unavailable", time_.now());
    store_.set_up(false);
    time_.after(rng_.milliseconds(300, 9000), [this] { store_.set_up(true); });
}

void job_world::crash_random_worker()
{
    worker_model& worker = random_worker();
    if (worker.up()) {
        crash_worker(worker);
    }
}

void job_world::reject_connections_to_workers()
{
    for (const auto& [id, it] : workers_) {
        if (!rng_.percent(30)) {
            continue;
        }
        history_.note("connections rejected: " + id.text(), time_.now());
        it->set_rejects_connections(true);
        time_.after(rng_.milliseconds(100, 4000),
                    [&worker = *it] { worker.set_rejects_connections(false); });
    }
}

void job_world::crash_worker(worker_model& worker)
{
    worker.crash();
    const bool unlisted = rng_.percent(50);
    if (unlisted) {
        store_.remove_worker(worker.entry().id);
    }
    time_.after(rng_.milliseconds(50, 3000), [this, &worker] {
        worker.restart();
        time_.after(rng_.milliseconds(0, 700), [this, &worker, generation = worker.generation()] {
            if (worker.generation() == generation) {
                store_.put_worker(worker.entry());
            }
        });
    });
}

void job_world::clear_faults()
{
    network_.restore_all();
    store_.set_up(true);
    delay_worker_calls_ = false;
    for (const auto& [id, it] : workers_) {
        it->set_rejects_connections(false);
    }
}

dispatcher_model* job_world::random_live_host()
{
    std::vector<dispatcher_model*> alive;
    for (const auto& [name, it] : hosts_) {
        if (it->alive()) {
            alive.push_back(it.get());
        }
    }
    return alive.empty() ? nullptr : alive[rng_.between(0, alive.size() - 1)];
}

worker_model& job_world::random_worker()
{
    auto it = workers_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(rng_.between(0, workers_.size() - 1)));
    return *it->second;
}

} // namespace papayafall::random_runs
