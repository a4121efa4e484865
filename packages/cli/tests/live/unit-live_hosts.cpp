#include "papayafall/cli/commands/confirm_command.hpp"
#include "papayafall/cli/commands/plan_command.hpp"
#include "papayafall/cli/commands/status_command.hpp"
#include "papayafall/daemon/process/dispatcher_process.hpp"
#include "papayafall/platform/http/http_key_value_store.hpp"
#include "papayafall/platform/store/await.hpp"
#include "support/stand_in_platform.hpp"
#include "support/test_application.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <QTcpServer>
#include <QTemporaryDir>

#include <fstream>
#include <sstream>

using namespace papayafall;
using nlohmann::json;

namespace {

constexpr const char* token = "s3cret";

/// Returns a loopback port that was just free for TCP and is most likely free for UDP.
std::uint16_t free_port()
{
    QTcpServer probe;
    CPPUNIT_ASSERT(probe.listen(QHostAddress::LocalHost));
    return probe.serverPort();
}

/// Runs the operators' commands against two daemons and a stand-in platform that requires a token.
class live_hosts_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(live_hosts_test);
    CPPUNIT_TEST(confirmation_reports_where_the_revision_is_in_force);
    CPPUNIT_TEST_SUITE_END();

  public:
    live_hosts_test() { ensure_application(); }

    void setUp() override
    {
        platform_ = std::make_unique<stand_in_platform>();
        platform_->set_faults({.token = token});
        write_file("token", token);
        write_file("peer.key", "0123456789abcdef0123456789abcdef");
        write_file("intent.json",
                   R"({"teams": {"counter": {"slot_quota": 5}}, "zones": {"a": {}}})");
    }

    void tearDown() override { platform_.reset(); }

    void confirmation_reports_where_the_revision_is_in_force()
    {
        const std::uint16_t first = free_port();
        const std::uint16_t second = free_port();
        const auto one = start_host("e1", first);
        const auto two = start_host("e2", second);
        const std::string plan =
            run<plan_command>({"plan", path("intent.json"), "--operator", "ana"})["plan"];
        const json confirmed = run<confirm_command>({"confirm", plan, "--operator", "bor", "--wait",
                                                     "20", "--host", "http://" + address(first),
                                                     "--host", "http://" + address(second)});
        CPPUNIT_ASSERT(last_exit_code_ == exit_code::success);
        CPPUNIT_ASSERT(confirmed["hosts"][0]["in_force"].get<bool>());
        CPPUNIT_ASSERT(confirmed["hosts"][1]["in_force"].get<bool>());
        assert_status_names_plan_and_operator(first, second, plan);
    }

  private:
    /// Both hosts report the plan and its operator, also the host that received the change from the
    /// other.
    void assert_status_names_plan_and_operator(std::uint16_t first, std::uint16_t second,
                                               const std::string& plan)
    {
        std::ostringstream out;
        status_command command(out);
        last_exit_code_ =
            run_command(command, {"status", "--output", "json", "--host", address(first), "--host",
                                  address(second), "--host", "127.0.0.1:1"});
        CPPUNIT_ASSERT(last_exit_code_ == exit_code::unavailable);
        const json reports = json::parse(out.str());
        for (std::size_t n = 0; n < 2; ++n) {
            const json& status = reports[n]["status"];
            CPPUNIT_ASSERT_EQUAL(1, status["revision"].get<int>());
            CPPUNIT_ASSERT_EQUAL(plan, status["change"]["plan"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(std::string("bor"),
                                 status["change"]["operator"].get<std::string>());
            CPPUNIT_ASSERT(status["change"]["since_unix_ms"].get<std::int64_t>() > 0);
        }
        CPPUNIT_ASSERT(reports[2]["status"].is_null());
    }

    static exit_code run_command(command& tested_command, std::vector<std::string> arguments)
    {
        CLI::App app;
        tested_command.attach(app);
        std::reverse(arguments.begin(), arguments.end());
        app.parse(arguments);
        return tested_command.run();
    }

    template <typename Command>
    json run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--output", "json", "--token-file", path("token"),
                                           "--platform", "http://" + address(platform_port())});
        std::ostringstream out;
        Command tested_command(out);
        last_exit_code_ = run_command(tested_command, arguments);
        return json::parse(out.str());
    }

    std::unique_ptr<dispatcher_process> start_host(const std::string& name, std::uint16_t port)
    {
        const std::uint16_t peer_port = free_port();
        const json host_entry{{"name", name},
                              {"zone", "a"},
                              {"datagrams", {{"address", "127.0.0.1"}, {"port", peer_port}}},
                              {"leaving", false}};
        store_value("hosts/entry/" + name, host_entry.dump());
        const json settings_document{
            {"host", name},
            {"zone", "a"},
            {"callers", {{"address", "127.0.0.1"}, {"port", port}}},
            {"peers",
             {{"address", "127.0.0.1"},
              {"tcp_port", peer_port},
              {"udp_port", peer_port},
              {"key_file", path("peer.key")}}},
            {"platform",
             {{"kind", "http"},
              {"address", "127.0.0.1"},
              {"port", platform_port()},
              {"token_file", path("token")}}},
        };
        auto process = std::make_unique<dispatcher_process>(
            parse_settings(settings_document.dump()), [](exit_reason) {});
        process->start();
        return process;
    }

    void store_value(const std::string& key, const std::string& data)
    {
        const system_clock_source clock;
        http_key_value_store store(
            {.address = platform_->address(), .token = platform_token(token)}, clock);
        const auto outcome = await<put_outcome>([&](const platform_reply<put_outcome>& reply) {
            store.put({key, data, put_always{}}, reply);
        });
        CPPUNIT_ASSERT(outcome == put_outcome::applied);
    }

    void write_file(const std::string& name, const std::string& text) const
    {
        std::ofstream(path(name)) << text << '\n';
    }

    std::string path(const std::string& name) const
    {
        return directory_.filePath(QString::fromStdString(name)).toStdString();
    }

    static std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    std::uint16_t platform_port() const { return platform_->address().port; }

    QTemporaryDir directory_;
    std::unique_ptr<stand_in_platform> platform_;
    exit_code last_exit_code_ = exit_code::success;
};

CPPUNIT_TEST_SUITE_REGISTRATION(live_hosts_test);

} // namespace
