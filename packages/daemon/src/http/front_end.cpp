#include "papayafall/daemon/http/front_end.hpp"

#include "papayafall/daemon/http/front_end_thread.hpp"
#include "papayafall/daemon/http/tls_loader.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace papayafall {

namespace {

std::optional<QSslConfiguration> load_optional_tls(const std::optional<tls_files>& files)
{
    return files ? std::optional(load_tls(*files)) : std::nullopt;
}

} // namespace

front_end::front_end(const front_end_options& options, const clock_source& clock,
                     event_sink& events, prometheus::Registry& registry)
    : options_(options), clock_(clock), metrics_(registry)
{
    const auto tls = load_optional_tls(options.tls);
    const front_end_context context{
        .clock = clock, .events = events, .metrics = metrics_, .registry = registry};
    const std::uint32_t thread_count = std::max(options.threads, 1U);
    front_end_options thread_options = options;
    for (std::uint32_t n = 0; n < thread_count; ++n) {
        const call_id_partition partition{.thread_index = n, .thread_count = thread_count};
        threads_.push_back(
            std::make_unique<front_end_thread>(thread_options, context, partition, tls));
        thread_options.listen.port = threads_.back()->port();
    }
    port_ = thread_options.listen.port;
}

front_end::~front_end() = default;

void front_end::start()
{
    for (const auto& it : threads_) {
        it->start();
    }
}

void front_end::post(action requested)
{
    if (const auto* it = std::get_if<answer_call>(&requested)) {
        threads_[it->call.value() % threads_.size()]->post(std::move(requested));
        return;
    }
    if (const auto* it = std::get_if<issue_tickets>(&requested)) {
        threads_[it->call.value() % threads_.size()]->post(std::move(requested));
        return;
    }
    if (!std::holds_alternative<publish_status>(requested)) {
        return;
    }
    for (const auto& it : threads_) {
        it->post(requested);
    }
}

void front_end::reload_tls()
{
    if (!options_.tls) {
        return;
    }
    const QSslConfiguration tls = load_tls(*options_.tls);
    for (const auto& it : threads_) {
        it->set_tls(tls);
    }
}

void front_end::stop_accepting()
{
    for (const auto& it : threads_) {
        it->stop_accepting();
    }
}

void front_end::stop(std::chrono::milliseconds timeout)
{
    const time_point deadline = clock_.read().steady + timeout;
    stop_accepting();
    for (const auto& it : threads_) {
        it->join(deadline);
    }
}

} // namespace papayafall
