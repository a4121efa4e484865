#include "papayafall/wire/settings/settings.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/configuration/configuration_json.hpp"
#include "papayafall/wire/configuration/host_list_json.hpp"
#include "papayafall/wire/configuration/json_reader.hpp"

#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

namespace papayafall {

namespace {

// Upper bounds of the settings.
constexpr std::uint64_t max_port = 65'535;
constexpr std::uint64_t max_threads = 64;
constexpr std::uint64_t largest_max_body_bytes = 8U << 20U;
constexpr std::uint64_t largest_max_connections = 100'000;
constexpr std::uint64_t max_records = 10'000'000;
constexpr std::uint64_t largest_answer_bytes_limit = 1U << 30U;
constexpr std::uint64_t max_duration_ms = 86'400'000;

std::chrono::milliseconds read_milliseconds(json_reader& in, const std::string& key,
                                            std::chrono::milliseconds fallback)
{
    const auto found = in.optional_number(key, 1, max_duration_ms);
    return found ? std::chrono::milliseconds(*found) : fallback;
}

/// As `read_milliseconds`, but returns the duration type of the core, which has a finer unit.
duration read_duration(json_reader& in, const std::string& key, duration fallback)
{
    const auto found = in.optional_number(key, 1, max_duration_ms);
    return found ? duration(std::chrono::milliseconds(*found)) : fallback;
}

std::uint32_t read_count(json_reader& in, const std::string& key, std::uint32_t fallback,
                         std::uint64_t max)
{
    return static_cast<std::uint32_t>(in.optional_number(key, 1, max).value_or(fallback));
}

endpoint read_endpoint(json_reader& in, const std::string& port_key)
{
    return endpoint{
        .address = in.text("address"),
        .port = static_cast<std::uint16_t>(in.number(port_key, 1, max_port)),
    };
}

std::optional<tls_settings> read_tls(json_reader& in)
{
    if (!in.has("tls")) {
        return std::nullopt;
    }
    json_reader tls = in.object("tls");
    tls_settings result{.certificate_file = tls.text("certificate_file"),
                        .key_file = tls.text("key_file")};
    tls.reject_unknown_keys();
    return result;
}

caller_settings read_callers(json_reader in)
{
    const caller_settings fallback;
    caller_settings result{
        .listen = read_endpoint(in, "port"),
        .threads = read_count(in, "threads", fallback.threads, max_threads),
        .max_body_bytes =
            read_count(in, "max_body_bytes", fallback.max_body_bytes, largest_max_body_bytes),
        .max_connections =
            read_count(in, "max_connections", fallback.max_connections, largest_max_connections),
        .request_timeout = read_milliseconds(in, "request_timeout_ms", fallback.request_timeout),
        .idle_timeout = read_milliseconds(in, "idle_timeout_ms", fallback.idle_timeout),
        .tls = read_tls(in),
    };
    in.reject_unknown_keys();
    return result;
}

peer_settings read_peers(json_reader in)
{
    peer_settings result{
        .link_endpoint = read_endpoint(in, "tcp_port"),
        .datagram_endpoint = read_endpoint(in, "udp_port"),
        .key_file = in.text("key_file"),
    };
    in.reject_unknown_keys();
    return result;
}

target_settings read_targets(json_reader in)
{
    const target_settings fallback;
    target_settings result{
        .threads = read_count(in, "threads", fallback.threads, max_threads),
        .max_idle_time = read_milliseconds(in, "idle_connection_limit_ms", fallback.max_idle_time),
    };
    in.reject_unknown_keys();
    return result;
}

platform_kind read_platform_kind(json_reader& in)
{
    const std::string kind = in.text("kind");
    if (kind == "memory") {
        return platform_kind::memory;
    }
    if (kind == "http") {
        return platform_kind::http;
    }
    in.fail("kind", R"(must be "memory" or "http")");
}

host_list_snapshot read_hosts(json_reader& in)
{
    const nlohmann::json* node = in.child("hosts");
    return node == nullptr ? host_list_snapshot{} : decode_host_list(*node, in.child_path("hosts"));
}

configuration read_initial_configuration(json_reader& in)
{
    const nlohmann::json* node = in.child("configuration");
    return node == nullptr ? configuration{} : decode_configuration(*node);
}

platform_settings read_platform(json_reader in)
{
    const platform_settings fallback;
    const platform_kind kind = read_platform_kind(in);
    platform_settings result{
        .kind = kind,
        .address = kind == platform_kind::http ? read_endpoint(in, "port") : endpoint{},
        .token_file = in.optional_text("token_file").value_or(""),
        .session_ttl = read_milliseconds(in, "session_ttl_ms", fallback.session_ttl),
        .call_timeout = read_milliseconds(in, "call_timeout_ms", fallback.call_timeout),
        .host_list_period = read_milliseconds(in, "host_list_period_ms", fallback.host_list_period),
        .hosts = read_hosts(in),
        .initial_configuration = read_initial_configuration(in),
    };
    in.reject_unknown_keys();
    return result;
}

log_level read_log_level(json_reader& in)
{
    const std::string level = in.optional_text("level").value_or("info");
    if (level == "debug") {
        return log_level::debug;
    }
    if (level == "info") {
        return log_level::info;
    }
    if (level == "warning") {
        return log_level::warning;
    }
    if (level == "error") {
        return log_level::error;
    }
    in.fail("level", R"(must be "debug", "info", "warning" or "error")");
}

log_settings read_log(json_reader in)
{
    log_settings result{.level = read_log_level(in), .file = in.optional_text("file").value_or("")};
    in.reject_unknown_keys();
    return result;
}

core_parameters read_parameters(json_reader in)
{
    core_parameters_fields result;
    result.heartbeat_period = read_duration(in, "heartbeat_period_ms", result.heartbeat_period);
    result.host_timeout = read_duration(in, "host_timeout_ms", result.host_timeout);
    result.record_retention = read_duration(in, "record_retention_ms", result.record_retention);
    result.record_limit = read_count(in, "record_limit",
                                     static_cast<std::uint32_t>(result.record_limit), max_records);
    result.answer_bytes_limit =
        read_count(in, "answer_bytes_limit", static_cast<std::uint32_t>(result.answer_bytes_limit),
                   largest_answer_bytes_limit);
    result.max_clock_error = read_milliseconds(in, "clock_error_ms", result.max_clock_error);
    result.key_future_limit = read_milliseconds(in, "key_future_limit_ms", result.key_future_limit);
    result.drain_period = read_duration(in, "drain_period_ms", result.drain_period);
    if (result.host_timeout <= result.heartbeat_period) {
        in.fail("host_timeout_ms", "must be longer than heartbeat_period_ms");
    }
    in.reject_unknown_keys();
    return result;
}

/// Reads an optional section; a missing section gets its default values.
template <typename Section, typename Read>
Section read_section(json_reader& in, const std::string& key, Read&& read)
{
    return in.has(key) ? read(in.object(key)) : Section{};
}

} // namespace

settings parse_settings(std::string_view text)
{
    const nlohmann::json document = parse_json(text);
    json_reader in(document, "");
    settings_fields fields{
        .host = host_name(in.text("host")),
        .zone = zone_name(in.text("zone")),
        .callers = read_callers(in.object("callers")),
        .peers = read_peers(in.object("peers")),
        .targets = read_section<target_settings>(in, "targets", read_targets),
        .platform = read_platform(in.object("platform")),
        .log = read_section<log_settings>(in, "log", read_log),
        .parameters = read_section<core_parameters>(in, "parameters", read_parameters),
    };
    fields.shutdown_limit = read_milliseconds(in, "shutdown_limit_ms", fields.shutdown_limit);
    in.reject_unknown_keys();
    return fields;
}

settings load_settings(const std::string& path)
{
    const std::ifstream file(path);
    if (!file) {
        throw configuration_error(error_id::invalid_settings, "",
                                  "cannot read settings file '" + path + "'");
    }
    std::stringstream text;
    text << file.rdbuf();
    return parse_settings(text.str());
}

} // namespace papayafall
