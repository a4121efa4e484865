#include "papayafall/daemon/process/dispatcher_process.hpp"

#include "papayafall/core/engine/standard_engine.hpp"
#include "papayafall/core/errors/exception.hpp"
#include "papayafall/daemon/logging/log.hpp"

#include <fstream>
#include <iterator>
#include <random>
#include <utility>

namespace papayafall {

namespace {

/// Time limit for callers to read the last answers at shutdown.
constexpr std::chrono::seconds final_answers_timeout{2};
/// Random low bits of an incarnation; the bits above hold the wall-clock time in milliseconds.
constexpr unsigned incarnation_random_bits = 12;

/// Returns an incarnation greater than that of any earlier process of the host, unless its wall
/// clock was set back by more than the time since that process started.
incarnation_id make_incarnation(const clock_source& clock)
{
    std::random_device source;
    const auto wall = static_cast<std::uint64_t>(clock.read().wall.time_since_epoch().count());
    const std::uint64_t random_bits = source() & ((1U << incarnation_random_bits) - 1);
    return incarnation_id((wall << incarnation_random_bits) | random_bits);
}

self_state make_self_state(const settings& wanted, const clock_source& clock)
{
    return self_state_fields{
        .host = wanted->host,
        .zone = wanted->zone,
        .incarnation = make_incarnation(clock),
        .link = wanted->peers.link_endpoint,
        .datagrams = wanted->peers.datagram_endpoint,
    };
}

bytes read_shared_key(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw configuration_error(error_id::invalid_settings, "/peers/key_file",
                                  "the file '" + path + "' cannot be read");
    }
    return bytes(std::string(std::istreambuf_iterator<char>(file), {}));
}

front_end_options make_front_end_options(const caller_settings& wanted)
{
    front_end_options options;
    options.listen = wanted.listen;
    options.threads = wanted.threads;
    options.max_connections_per_thread = wanted.max_connections / wanted.threads + 1;
    options.connection.max_body_size = wanted.max_body_bytes;
    options.connection.transfer_timeout = wanted.request_timeout;
    options.connection.idle_timeout = wanted.idle_timeout;
    if (wanted.tls) {
        options.tls = tls_files{.certificate_chain = wanted.tls->certificate_file,
                                .private_key = wanted.tls->key_file};
    }
    return options;
}

target_traffic_options make_target_traffic_options(const target_settings& wanted)
{
    target_traffic_options options;
    options.threads = wanted.threads;
    options.http.max_idle_time = wanted.max_idle_time;
    return options;
}

peer_options make_peer_options(const settings& wanted, const self_state& self)
{
    return peer_options{
        .self = {.host = self->host, .incarnation = self->incarnation},
        .zone = self->zone,
        .link = self->link,
        .datagrams = self->datagrams,
        .shared_key = read_shared_key(wanted->peers.key_file),
    };
}

platform_agent_options make_agent_options(const settings& wanted, const self_state& self)
{
    return platform_agent_options{
        .host = self->host,
        .zone = self->zone,
        .incarnation = self->incarnation,
        .session_ttl = wanted->platform.session_ttl,
        .host_list_period = wanted->platform.host_list_period,
    };
}

std::unique_ptr<platform_connector> make_connector(const settings& wanted)
{
    const platform_settings& platform = wanted->platform;
    if (platform.kind == platform_kind::memory) {
        return std::make_unique<memory_platform_connector>(platform.hosts,
                                                           platform.initial_configuration);
    }
    return std::make_unique<http_platform_connector>(http_platform_options{
        .address = platform.address,
        .zone = wanted->zone,
        .call_timeout = platform.call_timeout,
        .token = read_platform_token(platform.token_file, "/platform/token_file"),
    });
}

} // namespace

dispatcher_process::dispatcher_process(const settings& wanted,
                                       std::function<void(exit_reason)> on_exit_required)
    : dispatcher_process(wanted, std::move(on_exit_required),
                         make_self_state(wanted, system_clock_source()))
{
}

dispatcher_process::dispatcher_process(const settings& wanted,
                                       std::function<void(exit_reason)> on_exit_required,
                                       const self_state& self)
    : settings_(wanted), on_exit_required_(std::move(on_exit_required)),
      connector_(make_connector(wanted)),
      control_(make_engine(self, wanted->parameters, standard_policies()), clock_,
               [this](const std::exception& ex) { handle_control_failure(ex); }),
      callers_(make_front_end_options(wanted->callers), clock_, control_, registry_),
      targets_(make_target_traffic_options(wanted->targets), clock_, control_, registry_),
      peers_(make_peer_options(wanted, self), control_, registry_),
      platform_(make_agent_options(wanted, self), *connector_, control_, clock_),
      router_({.callers = callers_,
               .targets = targets_,
               .peers = peers_,
               .platform = platform_,
               .stop = [this] { on_exit_required_(exit_reason::stopped); }},
              registry_)
{
    write_log(log_level::info, "process starting",
              {{"host", self->host.text()},
               {"zone", self->zone.text()},
               {"incarnation", self->incarnation.value()}});
}

dispatcher_process::~dispatcher_process()
{
    stop();
}

void dispatcher_process::start()
{
    control_.start(router_);
    platform_.start();
    callers_.start();
    write_log(
        log_level::info, "serving callers",
        {{"address", settings_->callers.listen.address}, {"port", std::uint64_t{callers_.port()}}});
}

void dispatcher_process::request_shutdown()
{
    write_log(log_level::info, "shutdown requested");
    const time_point limit = clock_.read().steady + duration(settings_->shutdown_limit);
    control_.post(shutdown_requested{limit});
}

void dispatcher_process::reload()
{
    callers_.reload_tls();
    write_log(log_level::info, "TLS files read again");
}

void dispatcher_process::stop()
{
    callers_.stop(final_answers_timeout);
    control_.stop();
    platform_.stop();
}

void dispatcher_process::handle_control_failure(const std::exception& ex)
{
    write_log(log_level::error, "the control thread failed; stopping", {{"error", ex.what()}});
    on_exit_required_(exit_reason::fault);
}

} // namespace papayafall
