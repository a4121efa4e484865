#pragma once

#include "papayafall/core/values/configuration.hpp"
#include "papayafall/wire/configuration/change_record.hpp"
#include "support/caller_client.hpp"
#include "support/stand_in_platform.hpp"
#include "support/stand_in_target.hpp"

#include <nlohmann/json.hpp>

#include <QCoreApplication>
#include <QProcess>
#include <QTemporaryDir>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace papayafall {

/// Polls `condition` every 20 ms until it holds.
/// @return whether it held within `limit`
bool wait_until(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::seconds(20));

/// A running `papayafalld` process.
class daemon_process {
  public:
    /// @param settings complete settings
    /// @param path     file to which the settings are written; the log goes to `path`.log
    daemon_process(const nlohmann::json& settings, const QString& path);
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    ~daemon_process();

    std::uint16_t port() const { return port_; }

    qint64 pid() const { return pid_; }

    void send_signal(int number) const;

    /// Waits up to 40 s for the process to exit.
    /// @return exit code, or -1 when it crashed or did not exit
    int wait_for_end();

    void kill();

    caller_answer call(const caller_request_text& wanted) const { return call_host(port_, wanted); }

    caller_answer get(const std::string& path) const
    {
        return call({.method = "GET", .path = path});
    }

    bool ready() const { return get("/readyz").status == 200; }

    /// Result of `GET /v1/status`; null when the host did not answer.
    nlohmann::json status() const;

    std::uint64_t revision() const;

    /// Numbers of the seats of the host's zone that it homes.
    std::vector<std::uint32_t> homed_seats() const;

  private:
    QProcess process_;
    std::uint16_t port_;
    qint64 pid_ = 0;
};

struct fleet_options {
    /// JSON merge patch that is applied to the settings of every host.
    nlohmann::json settings = nlohmann::json::object();
    /// Time after an answer until a target closes the connection; the maximum value means never.
    std::chrono::milliseconds keep_alive{std::chrono::milliseconds::max()};
};

/// Entry hosts a1 and a2 in zone a and b1 in zone b, each zone with two stand-in targets of 8
/// slots, on a stand-in platform. The services are `check` (idempotent) and `booking`.
/// a1 starts first, and homes every seat of zone a until it ends.
class process_fleet {
  public:
    explicit process_fleet(const fleet_options& options = {});

    /// Starts an additional or a stopped host and lists it at the platform.
    daemon_process& start(const std::string& name, const std::string& zone);

    /// Starts a host without listing it at the platform.
    daemon_process& start_unlisted(const std::string& name, const std::string& zone);

    /// Waits until all hosts are ready and know each other, and every seat is homed.
    void wait_until_ready();

    daemon_process& host(const std::string& name) { return *hosts_.at(name); }

    std::map<std::string, std::unique_ptr<daemon_process>>& hosts() { return hosts_; }

    stand_in_platform& platform() { return platform_; }

    stand_in_targets& targets() { return targets_; }

    std::uint64_t starts(const std::string& id);

    /// Lists target `index` at the platform, with the given `leaving` flag.
    void list_target(std::size_t index, bool leaving);

    /// Creates a UUIDv7 key of a seat that host `name` currently homes.
    std::string make_key_homed_at(const std::string& name);

    /// Creates a UUIDv7 key of seat `number` of `zone`.
    std::string make_key_for_seat(const std::string& zone, std::uint32_t number);

    std::string make_uuidv7_key();

    /// Caller ports of all hosts that were started, ordered by host name.
    std::vector<std::uint16_t> caller_ports() const;

    plan_id propose(const std::string& author, const std::string& intent);

    /// Confirms a plan. Thread-safe.
    /// @return revision of the change
    std::uint64_t confirm(const std::string& author, const plan_id& id) const;

    /// Proposes and confirms a change.
    /// @return its revision
    std::uint64_t change_configuration(const std::string& intent);

  private:
    struct ports {
        std::uint16_t callers;
        std::uint16_t peers;
    };

    nlohmann::json make_settings(const std::string& name, const std::string& zone);
    void put_platform_entry(const std::string& key, const nlohmann::json& value) const;

    QCoreApplication* application_; ///< initialized before the members that need its event loop
    fleet_options options_;
    QTemporaryDir directory_;
    stand_in_platform platform_;
    stand_in_targets targets_;
    configuration current_configuration_;
    std::mt19937_64 random_{20261204};
    std::map<std::string, ports> ports_;
    std::map<std::string, std::unique_ptr<daemon_process>> hosts_;
};

} // namespace papayafall
