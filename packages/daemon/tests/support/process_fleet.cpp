#include "process_fleet.hpp"

#include "papayafall/core/identity/home.hpp"
#include "papayafall/platform/http/http_key_value_store.hpp"
#include "papayafall/platform/operators/change_log.hpp"
#include "papayafall/platform/store/await.hpp"
#include "papayafall/platform/store/keys.hpp"
#include "papayafall/wire/configuration/host_list_json.hpp"
#include "papayafall/wire/http/request_key_codec.hpp"
#include "support/free_port.hpp"
#include "support/test_application.hpp"

#include <QFile>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace papayafall {

namespace {

constexpr const char* initial_intent = R"({
    "services": {"check": {"idempotent": true, "time_limit_ms": 10000},
                 "booking": {"time_limit_ms": 10000}},
    "teams": {"desk": {"slot_quota": 32}},
    "zones": {"a": {"seats": 8}, "b": {"seats": 2}}})";

constexpr std::size_t seats_of_zone_a = 8;
constexpr std::size_t targets_per_zone = 2;

void write_file(const QString& path, const std::string& text)
{
    QFile file(path);
    if (!file.open(QIODevice::WriteOnly)) {
        throw std::runtime_error("cannot write " + path.toStdString());
    }
    file.write(QByteArray::fromStdString(text));
}

std::string zone_of_target(std::size_t index)
{
    return index < targets_per_zone ? "a" : "b";
}

stand_in_options make_target_options(const fleet_options& options)
{
    return {.slots = 8, .keep_alive = options.keep_alive};
}

/// Platform access of an operator; used only on the thread that creates it.
struct operator_session {
    explicit operator_session(const endpoint& platform)
        : store({.address = platform, .zone = zone_name("operators")}, clock), changes(store, clock)
    {
    }

    system_clock_source clock;
    http_key_value_store store;
    change_log changes;
};

} // namespace

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

daemon_process::daemon_process(const nlohmann::json& settings, const QString& path)
    : port_(settings.at("callers").at("port").get<std::uint16_t>())
{
    write_file(path, settings.dump());
    process_.setStandardErrorFile(path + ".log", QIODevice::Append);
    process_.start(PAPAYAFALLD_PATH, {QStringLiteral("--settings"), path});
    if (!process_.waitForStarted()) {
        throw std::runtime_error("papayafalld did not start");
    }
    pid_ = process_.processId();
}

void daemon_process::send_signal(int number) const
{
    ::kill(static_cast<pid_t>(pid_), number);
}

daemon_process::~daemon_process()
{
    if (process_.state() != QProcess::NotRunning) {
        kill();
    }
}

int daemon_process::wait_for_end()
{
    constexpr int limit_ms = 40'000;
    const bool ended =
        process_.state() == QProcess::NotRunning || process_.waitForFinished(limit_ms);
    return ended && process_.exitStatus() == QProcess::NormalExit ? process_.exitCode() : -1;
}

void daemon_process::kill()
{
    send_signal(SIGKILL);
    wait_for_end();
}

nlohmann::json daemon_process::status() const
{
    const caller_answer got = get("/v1/status");
    return got.status == 200 ? nlohmann::json::parse(got.body) : nlohmann::json();
}

std::uint64_t daemon_process::revision() const
{
    const nlohmann::json now = status();
    return now.is_object() ? now.at("revision").get<std::uint64_t>() : 0;
}

std::vector<std::uint32_t> daemon_process::homed_seats() const
{
    std::vector<std::uint32_t> numbers;
    const nlohmann::json now = status();
    if (!now.is_object()) {
        return numbers;
    }
    for (const nlohmann::json& it : now.at("seats")) {
        if (it.at("homing").get<bool>()) {
            numbers.push_back(it.at("seat").at("number").get<std::uint32_t>());
        }
    }
    return numbers;
}

process_fleet::process_fleet(const fleet_options& options)
    : application_(&ensure_application()), options_(options),
      targets_(2 * targets_per_zone, make_target_options(options))
{
    write_file(directory_.filePath("peer.key"), "a key of the tests, which is long enough");
    for (std::size_t n = 0; n < targets_.size(); ++n) {
        list_target(n, false);
    }
    change_configuration(initial_intent);
    start("a1", "a");
    if (!wait_until([this] { return host("a1").homed_seats().size() == seats_of_zone_a; })) {
        throw std::runtime_error("a1 did not get the seats of its zone");
    }
    start("a2", "a");
    start("b1", "b");
    wait_until_ready();
}

daemon_process& process_fleet::start(const std::string& name, const std::string& zone)
{
    const nlohmann::json settings = make_settings(name, zone);
    const nlohmann::json datagrams{{"address", "127.0.0.1"}, {"port", ports_.at(name).peers}};
    put_platform_entry(
        keys::listed_entry_hosts() + name,
        {{"name", name}, {"zone", zone}, {"datagrams", datagrams}, {"leaving", false}});
    return start_unlisted(name, zone);
}

daemon_process& process_fleet::start_unlisted(const std::string& name, const std::string& zone)
{
    const QString path = directory_.filePath(QString::fromStdString(name) + ".json");
    hosts_[name] = std::make_unique<daemon_process>(make_settings(name, zone), path);
    return host(name);
}

void process_fleet::wait_until_ready()
{
    constexpr std::size_t seats = 10;
    const bool settled = wait_until(
        [this] {
            std::size_t homed = 0;
            for (const auto& [name, it] : hosts_) {
                const nlohmann::json now = it->status();
                if (!now.is_object() || !now.at("ready").get<bool>() ||
                    now.at("hosts").size() + 1 < hosts_.size()) {
                    return false;
                }
                homed += it->homed_seats().size();
            }
            return homed == seats;
        },
        std::chrono::seconds(40));
    if (!settled) {
        throw std::runtime_error("the entry hosts did not become ready");
    }
}

std::uint64_t process_fleet::starts(const std::string& id)
{
    const auto counts = targets_.starts();
    const auto it = counts.find(id);
    return it == counts.end() ? 0 : it->second;
}

void process_fleet::list_target(std::size_t index, bool leaving)
{
    const std::string zone = zone_of_target(index);
    const std::string name = "t" + std::to_string(index);
    const target_entry entry{.name = target_name(name),
                             .zone = zone_name(zone),
                             .address = {"127.0.0.1", targets_.port(index)},
                             .slots = 8,
                             .leaving = leaving};
    put_platform_entry(keys::listed_targets(zone_name(zone)) + name, encode_target_entry(entry));
}

std::string process_fleet::make_key_homed_at(const std::string& name)
{
    const std::string zone = name.substr(0, 1);
    const std::vector<std::uint32_t> seats = host(name).homed_seats();
    if (seats.empty()) {
        throw std::runtime_error("the host homes no seat: " + name);
    }
    return make_key_for_seat(zone, seats.front());
}

std::string process_fleet::make_key_for_seat(const std::string& zone, std::uint32_t number)
{
    const seat_id wanted{.zone = zone_name(zone), .number = number};
    while (true) {
        std::string text = make_uuidv7_key();
        if (seat_for_key(current_configuration_, std::get<caller_key>(parse_request_key(text))) ==
            wanted) {
            return text;
        }
    }
}

std::string process_fleet::make_uuidv7_key()
{
    const auto ms =
        static_cast<std::uint64_t>(system_clock_source().read().wall.time_since_epoch().count());
    const std::uint64_t high = random_();
    const std::uint64_t low = random_();
    return QString::asprintf("%08llx-%04llx-7%03llx-%04llx-%012llx",
                             static_cast<unsigned long long>(ms >> 16U),
                             static_cast<unsigned long long>(ms & 0xffffU),
                             static_cast<unsigned long long>(high & 0xfffU),
                             static_cast<unsigned long long>(0x8000U | (low & 0x3fffU)),
                             static_cast<unsigned long long>(low >> 16U))
        .toStdString();
}

std::vector<std::uint16_t> process_fleet::caller_ports() const
{
    std::vector<std::uint16_t> numbers;
    for (const auto& [name, it] : ports_) {
        numbers.push_back(it.callers);
    }
    return numbers;
}

plan_id process_fleet::propose(const std::string& author, const std::string& intent)
{
    operator_session session(platform_.address());
    return session.changes.propose(operator_name(author), intent_document::parse(intent), {})->id;
}

std::uint64_t process_fleet::confirm(const std::string& author, const plan_id& id) const
{
    operator_session session(platform_.address());
    const time_point deadline = session.clock.read().steady + std::chrono::seconds(10);
    return session.changes.confirm(id, operator_name(author), deadline).revision.value();
}

std::uint64_t process_fleet::change_configuration(const std::string& intent)
{
    const std::uint64_t revision = confirm("ana", propose("ana", intent));
    current_configuration_ = operator_session(platform_.address()).changes.read_current().content;
    return revision;
}

nlohmann::json process_fleet::make_settings(const std::string& name, const std::string& zone)
{
    if (!ports_.contains(name)) {
        ports_[name] = {.callers = find_free_port(), .peers = find_free_port()};
    }
    const ports& own = ports_.at(name);
    nlohmann::json settings{
        {"host", name},
        {"zone", zone},
        {"callers", {{"address", "127.0.0.1"}, {"port", own.callers}}},
        {"peers",
         {{"address", "127.0.0.1"},
          {"tcp_port", own.peers},
          {"udp_port", own.peers},
          {"key_file", directory_.filePath("peer.key").toStdString()}}},
        {"platform",
         {{"kind", "http"},
          {"address", "127.0.0.1"},
          {"port", platform_.address().port},
          {"session_ttl_ms", 2000},
          {"call_timeout_ms", 1000}}},
        {"parameters",
         {{"heartbeat_period_ms", 200}, {"host_timeout_ms", 1500}, {"drain_period_ms", 1000}}},
    };
    settings.merge_patch(options_.settings);
    return settings;
}

void process_fleet::put_platform_entry(const std::string& key, const nlohmann::json& value) const
{
    const caller_answer got = call_host(
        platform_.address().port, {.method = "PUT", .path = "/v1/kv/" + key, .body = value.dump()});
    if (got.status != 200) {
        throw std::runtime_error("the stand-in platform refused " + key);
    }
}

} // namespace papayafall
