#include "papayafall/cli/commands/confirm_command.hpp"
#include "papayafall/cli/commands/history_command.hpp"
#include "papayafall/cli/commands/plan_command.hpp"
#include "papayafall/cli/commands/show_command.hpp"
#include "papayafall/platform/operators/operator_errors.hpp"
#include "support/stand_in_platform.hpp"
#include "support/test_application.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include <QTemporaryFile>

#include <sstream>

using namespace papayafall;

namespace {

/// Runs the operators' commands against a stand-in platform.
class operator_commands_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(operator_commands_test);
    CPPUNIT_TEST(plan_confirm_show_and_history);
    CPPUNIT_TEST(second_of_two_confirmations_gets_a_conflict);
    CPPUNIT_TEST(change_is_confirmed_once_after_a_lost_answer);
    CPPUNIT_TEST(plan_is_confirmed_after_a_platform_outage);
    CPPUNIT_TEST(host_without_the_revision_is_reported);
    CPPUNIT_TEST(operator_name_is_required);
    CPPUNIT_TEST(platform_refuses_without_the_token);
    CPPUNIT_TEST_SUITE_END();

  public:
    operator_commands_test() { ensure_application(); }

    void setUp() override { platform_ = std::make_unique<stand_in_platform>(); }

    void tearDown() override { platform_.reset(); }

    void plan_confirm_show_and_history()
    {
        const std::string id = store_plan(5, "ana");
        CPPUNIT_ASSERT_EQUAL(0, parse_json(run<show_command>({"show"}))["revision"].get<int>());
        const auto confirmed = parse_json(confirm(id, "bor"));
        CPPUNIT_ASSERT_EQUAL(std::string("confirmed"), confirmed["result"].get<std::string>());
        const auto repeated = parse_json(confirm(id, "bor"));
        CPPUNIT_ASSERT_EQUAL(std::string("already_confirmed"),
                             repeated["result"].get<std::string>());

        const auto shown = parse_json(run<show_command>({"show"}));
        CPPUNIT_ASSERT_EQUAL(5, shown["teams"]["counter"]["slot_quota"].get<int>());
        const auto changes = parse_json(run<history_command>({"audit"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("bor"), changes[0]["operator"].get<std::string>());
    }

    void second_of_two_confirmations_gets_a_conflict()
    {
        const std::string first = store_plan(5, "ana");
        const std::string second = store_plan(6, "bor");
        confirm(second, "bor");
        try {
            confirm(first, "ana");
            CPPUNIT_FAIL("both plans were confirmed");
        } catch (const plan_conflict& it) {
            CPPUNIT_ASSERT_EQUAL(second, it.conflicting_change()->plan.text());
            CPPUNIT_ASSERT_EQUAL(std::string("bor"), it.conflicting_change()->author.text());
        }
    }

    void change_is_confirmed_once_after_a_lost_answer()
    {
        const std::string id = store_plan(5, "ana");
        platform_->set_faults({.lose_answers = 1});
        confirm(id, "ana");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parse_json(run<history_command>({"history"})).size());
    }

    void plan_is_confirmed_after_a_platform_outage()
    {
        const std::string id = store_plan(5, "ana");
        platform_->set_faults({.down = true});
        CPPUNIT_ASSERT_THROW(confirm(id, "ana", {"--wait", "0"}), platform_call_error);
        platform_->set_faults({});
        CPPUNIT_ASSERT_EQUAL(1, parse_json(confirm(id, "ana"))["revision"].get<int>());
    }

    void host_without_the_revision_is_reported()
    {
        const std::string id = store_plan(5, "ana");
        const std::string unreachable_host = "http://127.0.0.1:1";
        const auto result =
            parse_json(confirm(id, "ana", {"--host", unreachable_host, "--wait", "1"}));
        CPPUNIT_ASSERT(last_exit_code_ == exit_code::unavailable);
        CPPUNIT_ASSERT_EQUAL(unreachable_host, result["hosts"][0]["host"].get<std::string>());
        CPPUNIT_ASSERT(!result["hosts"][0]["in_force"].get<bool>());
    }

    void operator_name_is_required()
    {
        CPPUNIT_ASSERT_THROW(run<plan_command>({"plan", "intent.json"}), configuration_error);
    }

    void platform_refuses_without_the_token()
    {
        platform_->set_faults({.token = "s3cret"});
        try {
            run<show_command>({"show"});
            CPPUNIT_FAIL("the platform answered without the token");
        } catch (const platform_call_error& it) {
            CPPUNIT_ASSERT(it.id() == error_id::unauthorized);
        }
        QTemporaryFile file;
        CPPUNIT_ASSERT(file.open());
        file.write("s3cret\n");
        file.close();
        run<show_command>({"show", "--token-file", file.fileName().toStdString()});
        CPPUNIT_ASSERT_THROW(run<show_command>({"show", "--token-file", "/nonexistent"}),
                             configuration_error);
    }

  private:
    template <typename Command>
    std::string run(std::vector<std::string> arguments)
    {
        std::ostringstream out;
        Command command(out);
        CLI::App app;
        command.attach(app);
        arguments.insert(arguments.end(),
                         {"--output", "json", "--platform",
                          "http://127.0.0.1:" + std::to_string(platform_->address().port)});
        std::reverse(arguments.begin(), arguments.end());
        app.parse(arguments);
        last_exit_code_ = command.run();
        return out.str();
    }

    std::string store_plan(int slots, const std::string& author)
    {
        QTemporaryFile file;
        CPPUNIT_ASSERT(file.open());
        const std::string intent =
            R"({"teams": {"counter": {"slot_quota": )" + std::to_string(slots) + "}}}";
        file.write(intent.data(), static_cast<qint64>(intent.size()));
        file.close();
        const std::string name = file.fileName().toStdString();
        return parse_json(run<plan_command>({"plan", name, "--operator", author}))["plan"];
    }

    std::string confirm(const std::string& id, const std::string& author,
                        const std::vector<std::string>& extra_arguments = {})
    {
        std::vector<std::string> arguments{"confirm", id, "--operator", author};
        arguments.insert(arguments.end(), extra_arguments.begin(), extra_arguments.end());
        return run<confirm_command>(arguments);
    }

    static nlohmann::json parse_json(const std::string& text)
    {
        return nlohmann::json::parse(text);
    }

    exit_code last_exit_code_ = exit_code::success;
    std::unique_ptr<stand_in_platform> platform_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_commands_test);

} // namespace
