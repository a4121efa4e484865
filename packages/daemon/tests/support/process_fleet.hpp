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

/// Waits until `condition` holds, looking every 20 ms.
/// @return whether it held before `limit` had passed
bool wait_until(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::seconds(20));

/// A `papayafalld` process.
class daemon_process {
  public:
    /// @param settings complete settings; written to `path`
    daemon_process(const nlohmann::json& settings, const QString& path);
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    ~daemon_process();

    std::uint16_t port() const { return port_; }

    qint64 pid() const { return pid_; }

    void send_signal(int number) const;

    /// Waits for the end of the process, 40 s at most.
    /// @return exit code, or -1 when it crashed or did not end
    int wait_for_end();

    void kill();

    caller_answer call(const caller_request_text& wanted) const { return call_host(port_, wanted); }

    caller_answer get(const std::string& path) const
    {
        return call({.method = "GET", .path = path});
    }

    bool ready() const { return get("/readyz").status == 200; }

    /// `GET /v1/status`; null without an answer.
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
    /// Settings that replace the ones of a fleet (a JSON merge patch).
    nlohmann::json settings = nlohmann::json::object();
    std::chrono::milliseconds keep_alive{std::chrono::milliseconds::max()};
};

/// Entry hosts a1 and a2 in zone a and b1 in zone b, each zone with two stand-in targets of 8
/// slots, on a stand-in platform. The services are `check` (idempotent) and `booking`.
/// a1 starts first, and homes every seat of zone a until it ends.
class process_fleet {
  public:
    explicit process_fleet(const fleet_options& options = {});

    /// Starts a further host, or one that was stopped, and lists it at the platform.
    daemon_process& start(const std::string& name, const std::string& zone);

    /// As `start`, without the platform.
    daemon_process& start_unlisted(const std::string& name, const std::string& zone);

    /// Waits until the hosts are ready, know each other, and home every seat.
    void wait_until_ready();

    daemon_process& host(const std::string& name) { return *hosts_.at(name); }

    std::map<std::string, std::unique_ptr<daemon_process>>& hosts() { return hosts_; }

    stand_in_platform& platform() { return platform_; }

    stand_in_targets& targets() { return targets_; }

    std::uint64_t starts(const std::string& id);

    /// Sets the `leaving` mark of target `index` at the platform.
    void list_target(std::size_t index, bool leaving);

    /// A new UUIDv7 key whose seat `name` homes at present.
    std::string make_key_homed_at(const std::string& name);

    /// A new UUIDv7 key of the seat of `zone` with this number.
    std::string make_key_for_seat(const std::string& zone, std::uint32_t number);

    std::string make_uuidv7_key();

    /// Ports for callers of every host that was started, in the order of their names.
    std::vector<std::uint16_t> caller_ports() const;

    plan_id propose(const std::string& author, const std::string& intent);

    /// Confirms a plan; safe on several threads. @return the revision of its change
    std::uint64_t confirm(const std::string& author, const plan_id& id) const;

    /// Plans and confirms a change. @return its revision
    std::uint64_t change_configuration(const std::string& intent);

  private:
    struct ports {
        std::uint16_t callers;
        std::uint16_t peers;
    };

    nlohmann::json make_settings(const std::string& name, const std::string& zone);
    void put_platform_entry(const std::string& key, const nlohmann::json& value) const;

    QCoreApplication* application_; ///< made before anything that needs its event loop
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
