#include "papayafall/platform/http/http_key_value_store.hpp"
#include "papayafall/platform/operators/change_log.hpp"
#include "papayafall/platform/operators/operator_errors.hpp"
#include "papayafall/platform/operators/planner.hpp"
#include "papayafall/platform/store/keys.hpp"
#include "papayafall/wire/configuration/configuration_json.hpp"
#include "support/stand_in_platform.hpp"
#include "support/store_decorator.hpp"
#include "support/test_application.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <QTimer>

using namespace papayafall;
using namespace std::chrono_literals;

namespace {

intent_document quota_intent(std::uint32_t slots)
{
    return intent_document::parse(R"({"teams": {"counter": {"slot_quota": )" +
                                  std::to_string(slots) + "}}}");
}

class planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(planner_test);
    CPPUNIT_TEST(plan_names_base_and_intent);
    CPPUNIT_TEST(plan_shows_effects_and_warnings);
    CPPUNIT_TEST(seat_layout_is_fixed);
    CPPUNIT_TEST_SUITE_END();

  public:
    void plan_names_base_and_intent()
    {
        const plan first = make_plan({}, quota_intent(1), {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, first->id.text().size());
        CPPUNIT_ASSERT(first == make_plan({}, quota_intent(1), {}));
        CPPUNIT_ASSERT(first->id != make_plan({}, quota_intent(2), {})->id);
        CPPUNIT_ASSERT(first->id != make_plan(first->result, quota_intent(1), {})->id);
    }

    void plan_shows_effects_and_warnings()
    {
        const auto intent = intent_document::parse(R"({
            "teams": {"counter": {"slot_quota": 30}, "web": {"slot_quota": 20}},
            "services": {"quote": {"time_limit_ms": 100, "concurrency_limit": 8,
                                   "price_per_slot_second_millionths": 50,
                                   "cost_per_request_millionths": 5}}})");
        const plan proposed = make_plan({}, intent,
                                        {.capacity_slots = 40,
                                         .run_times = {{service_name("quote"), 200ms}},
                                         .zones = {zone_name("a")}});

        const std::vector<plan_warning> expected{
            {plan_warning_kind::quota_over_capacity, "/teams", 50, 40},
            {plan_warning_kind::time_limit_below_run_time, "/services/quote/time_limit_ms", 100,
             200},
            {plan_warning_kind::cost_limit_below_run_cost,
             "/services/quote/cost_per_request_millionths", 5, 10},
            {plan_warning_kind::zone_without_seats, "/zones/a", 0, 1},
        };
        CPPUNIT_ASSERT(proposed->warnings == expected);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, proposed->effects.quota_slots_after);
        const std::vector<cost_effect> costs{{service_name("quote"), 0, 400}};
        CPPUNIT_ASSERT(proposed->effects.costs == costs);
    }

    void seat_layout_is_fixed()
    {
        const configuration base = parse_configuration(R"({"zones": {"a": {"seats": 4}}})");
        const auto more = intent_document::parse(R"({"zones": {"a": {"seats": 5}}})");
        const auto same = intent_document::parse(R"({"zones": {"a": {"seats": 4}}})");
        CPPUNIT_ASSERT_THROW(make_plan(base, more, {}), seat_layout_error);
        CPPUNIT_ASSERT(make_plan(base, same, {})->differences.empty());
        CPPUNIT_ASSERT(!make_plan({}, more, {})->differences.empty());
    }
};

class change_log_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(change_log_test);
    CPPUNIT_TEST(nothing_changes_before_the_confirmation);
    CPPUNIT_TEST(repeated_confirmation_is_idempotent);
    CPPUNIT_TEST(concurrent_confirmation_is_a_conflict);
    CPPUNIT_TEST(stale_plan_names_the_change_that_came_first);
    CPPUNIT_TEST(lost_response_is_resolved_by_reading_back);
    CPPUNIT_TEST(outage_between_plan_and_confirmation);
    CPPUNIT_TEST(confirmation_waits_for_the_end_of_an_outage);
    CPPUNIT_TEST(plan_without_differences_changes_nothing);
    CPPUNIT_TEST(unknown_plan_is_refused);
    CPPUNIT_TEST(snapshot_and_history_after_many_revisions);
    CPPUNIT_TEST_SUITE_END();

  public:
    change_log_test() { ensure_application(); }

    void setUp() override
    {
        platform_ = std::make_unique<stand_in_platform>();
        http_ = std::make_unique<http_key_value_store>(
            http_platform_options{platform_->address(), zone_name("a"), 1000ms}, clock_);
        store_ = std::make_unique<store_decorator>(*http_);
        log_ = std::make_unique<change_log>(*store_, clock_);
    }

    void tearDown() override
    {
        log_.reset();
        store_.reset();
        http_.reset();
        platform_.reset();
    }

    void nothing_changes_before_the_confirmation()
    {
        const plan proposed = propose(5);
        CPPUNIT_ASSERT(log_->read_current().content == configuration{});
        CPPUNIT_ASSERT(confirm(proposed->id) == (confirmation{confirmed, revision_id(1)}));
        CPPUNIT_ASSERT(log_->read_current().content == proposed->result);
        CPPUNIT_ASSERT(log_->history(10).front()->author == first_operator_);
    }

    void repeated_confirmation_is_idempotent()
    {
        const plan proposed = propose(5);
        confirm(proposed->id);
        const plan later = propose(6);
        confirm(later->id);
        CPPUNIT_ASSERT(confirm(proposed->id) ==
                       (confirmation{confirmation_kind::already_confirmed, revision_id(1)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log_->history(10).size());
    }

    void concurrent_confirmation_is_a_conflict()
    {
        const plan first = propose(5);
        const plan second = propose(6);
        change_log other_log(*http_, clock_);
        store_->before_put(keys::all_changes(), [&] {
            other_log.confirm(second->id, second_operator_, clock_.read().steady + 20s);
        });
        try {
            confirm(first->id);
            CPPUNIT_FAIL("two conflicting plans were both confirmed");
        } catch (const plan_conflict& it) {
            CPPUNIT_ASSERT(it.id() == error_id::plan_conflict);
            CPPUNIT_ASSERT(it.conflicting_change()->author == second_operator_);
            CPPUNIT_ASSERT(it.conflicting_change()->plan == second->id);
            CPPUNIT_ASSERT(it.conflicting_change()->revision == revision_id(1));
        }
        CPPUNIT_ASSERT(log_->read_current().content == second->result);
    }

    void stale_plan_names_the_change_that_came_first()
    {
        const plan first = propose(5);
        const plan second = propose(6);
        confirm(second->id);
        try {
            confirm(first->id);
            CPPUNIT_FAIL("a stale plan was confirmed");
        } catch (const plan_stale& it) {
            CPPUNIT_ASSERT(it.id() == error_id::plan_stale);
            CPPUNIT_ASSERT(it.conflicting_change()->plan == second->id);
        }
    }

    void lost_response_is_resolved_by_reading_back()
    {
        const plan proposed = propose(5);
        platform_->set_faults({.lose_answers = 1});
        CPPUNIT_ASSERT(confirm(proposed->id) == (confirmation{confirmed, revision_id(1)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log_->history(10).size());
    }

    void outage_between_plan_and_confirmation()
    {
        const plan proposed = propose(5);
        platform_->set_faults({.down = true});
        try {
            log_->confirm(proposed->id, first_operator_, clock_.read().steady);
            CPPUNIT_FAIL("a confirmation without a platform succeeded");
        } catch (const platform_call_error& it) {
            CPPUNIT_ASSERT(it.effect() == write_effect::not_applied);
        }
        platform_->set_faults({});
        CPPUNIT_ASSERT(confirm(proposed->id) == (confirmation{confirmed, revision_id(1)}));
    }

    void confirmation_waits_for_the_end_of_an_outage()
    {
        const plan proposed = propose(5);
        platform_->set_faults({.down = true});
        QTimer::singleShot(150, [this] { platform_->set_faults({}); });
        CPPUNIT_ASSERT(confirm(proposed->id) == (confirmation{confirmed, revision_id(1)}));
    }

    void plan_without_differences_changes_nothing()
    {
        confirm(propose(5)->id);
        CPPUNIT_ASSERT(confirm(propose(5)->id) ==
                       (confirmation{confirmation_kind::unchanged, revision_id(1)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log_->history(10).size());
    }

    void unknown_plan_is_refused() { CPPUNIT_ASSERT_THROW(confirm(plan_id("0")), plan_not_found); }

    void snapshot_and_history_after_many_revisions()
    {
        for (std::uint32_t n = 1; n <= 104; ++n) {
            confirm(propose(n + 1)->id);
        }
        const configuration_reading current = log_->read_current();
        CPPUNIT_ASSERT(current.content->revision == revision_id(104));
        CPPUNIT_ASSERT(current.snapshot_revision == revision_id(100));

        const std::vector<change_record> changes = log_->history(110);
        CPPUNIT_ASSERT_EQUAL(std::size_t{104}, changes.size());
        CPPUNIT_ASSERT(changes.front()->revision == revision_id(104));
        CPPUNIT_ASSERT(changes.back()->revision == revision_id(1));
    }

  private:
    static constexpr confirmation_kind confirmed = confirmation_kind::confirmed;

    plan propose(std::uint32_t slots)
    {
        return log_->propose(first_operator_, quota_intent(slots), {});
    }

    confirmation confirm(const plan_id& id)
    {
        return log_->confirm(id, first_operator_, clock_.read().steady + 20s);
    }

    const operator_name first_operator_{"ana"};
    const operator_name second_operator_{"bor"};
    system_clock_source clock_;
    std::unique_ptr<stand_in_platform> platform_;
    std::unique_ptr<http_key_value_store> http_;
    std::unique_ptr<store_decorator> store_;
    std::unique_ptr<change_log> log_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(planner_test);
CPPUNIT_TEST_SUITE_REGISTRATION(change_log_test);

} // namespace
