#include "random/jobs/job_world.hpp"

#include <algorithm>
#include <utility>

namespace papayafall::random_runs {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t most_attempts = 4;
/// Time before a caller comes again after its connection broke.
constexpr duration resubmission_delay = milliseconds(1300);
constexpr duration settle_time = std::chrono::seconds(30);
/// What the workers and the hosts need until the first job comes.
constexpr duration warm_up = std::chrono::seconds(4);

const std::vector<std::string> zones{"a", "b"};

} // namespace

job_world::job_world(std::uint64_t seed) : chance_(seed), network_(time_, chance_), store_(time_)
{
    make_workers();
    make_hosts();
}

surroundings job_world::around()
{
    return {.time = time_,
            .chance = chance_,
            .network = network_,
            .store = store_,
            .seen = seen_,
            .callers = *this,
            .workers = workers_,
            .hosts = hosts_,
            .late_orders = late_orders_};
}

void job_world::make_workers()
{
    const bool guards = chance_.percent(50);
    const std::uint64_t count = chance_.between(4, 10);
    for (std::uint64_t n = 0; n < count; ++n) {
        const std::string id = "w" + std::to_string(n);
        jobs::worker_fields entry{.id = jobs::worker_id(id),
                                  .service = service_name("desk"),
                                  .address = {"127.0.0.1", 1},
                                  .zone = zone_name(zones[n % zones.size()]),
                                  .room = {.cpu_millis = 64'000, .memory_mb = 1000}};
        workers_[entry.id] = std::make_unique<worker_model>(entry, guards, time_, chance_, seen_);
        store_.put_worker(workers_[entry.id]->entry());
    }
}

void job_world::make_hosts()
{
    const jobs::job_parameters parameters{.cells_per_zone =
                                              static_cast<std::uint32_t>(chance_.between(1, 4))};
    const std::uint64_t count = chance_.between(2, 6);
    for (std::uint64_t n = 0; n < count; ++n) {
        const std::string host = "h" + std::to_string(n);
        jobs::dispatcher_identity self{.host = host_name(host),
                                       .zone = zone_name(zones[n % zones.size()]),
                                       .cpu_millis =
                                           static_cast<std::int64_t>(chance_.between(1, 4)) * 100};
        for (const std::string& it : zones) {
            self.platform_zones.emplace_back(it);
        }
        hosts_[self.host] = std::make_unique<dispatcher_model>(self, parameters, around());
    }
    for (const auto& [name, it] : hosts_) {
        it->start();
    }
}

job_run_summary job_world::run(std::chrono::seconds length)
{
    time_.after(warm_up, [this] {
        submit_next();
        next_fault();
    });
    time_.run(time_.now() + warm_up + length);
    calm_ = true;
    heal();
    time_.run(time_.now() + settle_time);
    seen_.finish(time_.now());
    return {.jobs = last_job_,
            .attempts = last_call_,
            .served = seen_.served(),
            .starts = seen_.starts(),
            .faults = faults_};
}

void job_world::on_answer(call_id call, jobs::job_outcome outcome)
{
    const auto found = calls_.extract(call);
    if (found.empty()) {
        return;
    }
    const attempt& it = found.mapped();
    seen_.answered(it.job->id, it.number, outcome, time_.now());
    if (outcome == jobs::job_outcome::refused || outcome == jobs::job_outcome::interrupted) {
        submit_again(it);
    }
}

void job_world::on_disconnected(call_id call)
{
    const auto found = calls_.extract(call);
    if (found.empty()) {
        return;
    }
    seen_.disconnected(found.mapped().job->id, found.mapped().number);
    submit_again(found.mapped());
}

void job_world::submit_again(const attempt& former)
{
    if (former.number == most_attempts || chance_.percent(30)) {
        return;
    }
    time_.after(resubmission_delay + chance_.milliseconds(0, 50),
                [this, former] { submit(former.job, former.number + 1); });
}

void job_world::submit_next()
{
    if (calm_) {
        return;
    }
    submit(make_job(), 1);
    time_.after(chance_.milliseconds(5, 120), [this] { submit_next(); });
}

void job_world::submit(const jobs::job_spec& job, std::uint64_t number)
{
    dispatcher_model* const host = some_host();
    if (host == nullptr) {
        return;
    }
    const call_id call(++last_call_);
    calls_[call] = {job, number, host->name()};
    seen_.submitted(job, number, time_.now());
    host->submit(call, job);
    if (!chance_.percent(2)) {
        return;
    }
    // The connection is reset, and the caller comes again.
    time_.after(chance_.milliseconds(1, 400), [this, call, host] {
        if (calls_.contains(call) && host->alive()) {
            host->hang_up(call);
            on_disconnected(call);
        }
    });
}

jobs::job_spec job_world::make_job()
{
    std::string id = std::to_string(++last_job_);
    id.insert(0, 16 - std::min<std::size_t>(16, id.size()), '0');
    const jobs::resources need{
        .cpu_millis = static_cast<std::int64_t>(chance_.between(8, 40)) * 1000, .memory_mb = 10};
    const std::uint64_t run_ms =
        chance_.percent(5) ? chance_.between(800, 4000) : chance_.between(20, 300);
    jobs::job_spec_fields job{
        .id = jobs::job_id(id), .payload = payload_of(run_ms, need), .kind = {.best_effort = true}};
    const std::uint64_t steps = chance_.percent(25) ? 2 : 1;
    for (std::uint64_t n = 0; n < steps; ++n) {
        jobs::job_step step{.count = static_cast<std::uint32_t>(chance_.between(1, 6)),
                            .need = need,
                            .estimate = milliseconds(run_ms)};
        if (n > 0) {
            step.after.push_back(static_cast<std::uint32_t>(n - 1));
        }
        job.steps.push_back(step);
    }
    return job;
}

void job_world::next_fault()
{
    if (calm_) {
        return;
    }
    strike();
    time_.after(chance_.milliseconds(200, 6000), [this] { next_fault(); });
}

void job_world::strike()
{
    ++faults_;
    dispatcher_model* const host = some_host();
    switch (chance_.between(0, 9)) {
    case 0:
    case 1:
        if (host != nullptr) {
            end_host(*host);
        }
        break;
    case 2:
        if (host != nullptr) {
            host->suspend(chance_.milliseconds(150, 3000));
        }
        break;
    case 3:
        if (host != nullptr) {
            host->stop();
            time_.after(chance_.milliseconds(7000, 9000), [host] {
                if (!host->alive()) {
                    host->start();
                }
            });
        }
        break;
    case 4:
    case 5:
        cut_some();
        break;
    case 6:
        silence_store();
        break;
    case 7:
        seen_.note("leases revoked", time_.now());
        store_.revoke_all();
        break;
    case 8:
        crash_worker();
        break;
    default:
        late_orders_ = true;
        time_.after(chance_.milliseconds(500, 3000), [this] { late_orders_ = false; });
    }
}

void job_world::end_host(dispatcher_model& host)
{
    host.kill();
    time_.after(chance_.milliseconds(100, 4000), [&host] {
        if (!host.alive()) {
            host.start();
        }
    });
}

void job_world::cut_some()
{
    std::vector<std::string> programs{"store"};
    for (const auto& [name, it] : hosts_) {
        programs.push_back(name.text());
    }
    for (const auto& [id, it] : workers_) {
        programs.push_back(id.text());
    }
    dispatcher_model* const host = some_host();
    if (host == nullptr) {
        return;
    }
    seen_.note("cuts around " + host->name(), time_.now());
    const std::uint64_t share = chance_.between(10, 100);
    for (const std::string& it : programs) {
        if (it != host->name() && chance_.percent(share)) {
            network_.cut(host->name(), it);
        }
    }
    time_.after(chance_.milliseconds(100, 9000), [this] { network_.heal(); });
}

void job_world::silence_store()
{
    seen_.note("store silent", time_.now());
    store_.set_up(false);
    time_.after(chance_.milliseconds(300, 9000), [this] { store_.set_up(true); });
}

void job_world::crash_worker()
{
    worker_model& worker = some_worker();
    if (!worker.up()) {
        return;
    }
    worker.crash();
    const bool unlisted = chance_.percent(50);
    if (unlisted) {
        store_.remove_worker(worker.entry().id);
    }
    time_.after(chance_.milliseconds(50, 3000), [this, &worker] {
        worker.restart();
        store_.put_worker(worker.entry());
    });
}

void job_world::heal()
{
    network_.heal();
    store_.set_up(true);
    late_orders_ = false;
}

dispatcher_model* job_world::some_host()
{
    std::vector<dispatcher_model*> alive;
    for (const auto& [name, it] : hosts_) {
        if (it->alive()) {
            alive.push_back(it.get());
        }
    }
    return alive.empty() ? nullptr : alive[chance_.between(0, alive.size() - 1)];
}

worker_model& job_world::some_worker()
{
    auto it = workers_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(chance_.between(0, workers_.size() - 1)));
    return *it->second;
}

} // namespace papayafall::random_runs
