#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/configuration/change_record.hpp"
#include "papayafall/wire/configuration/configuration_json.hpp"
#include "papayafall/wire/configuration/host_list_json.hpp"
#include "papayafall/wire/configuration/seat_record.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;

namespace {

std::string error_path_of(const std::string& text)
{
    try {
        parse_configuration(text);
    } catch (const configuration_error& ex) {
        return ex.path();
    }
    return "no error";
}

configuration sample_configuration()
{
    return parse_configuration(R"({
        "revision": 4,
        "services": {"quote": {"urgency": "urgent", "time_limit_ms": 400, "rate_limit_per_s": 50},
                     "booking": {"idempotent": false, "concurrency_limit": 8}},
        "teams": {"counter": {"slot_quota": 40, "rate_limit_per_s": 900}},
        "zones": {"a": {"seats": 6}}})");
}

class configuration_json_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_json_test);
    CPPUNIT_TEST(configuration_round_trips);
    CPPUNIT_TEST(errors_carry_the_json_pointer);
    CPPUNIT_TEST(intent_is_a_merge_patch);
    CPPUNIT_TEST(intent_cannot_set_the_revision);
    CPPUNIT_TEST(change_record_round_trips);
    CPPUNIT_TEST(host_list_round_trips);
    CPPUNIT_TEST(seat_record_round_trips);
    CPPUNIT_TEST_SUITE_END();

  public:
    void configuration_round_trips()
    {
        const configuration before = sample_configuration();
        CPPUNIT_ASSERT(before->services.at(service_name("quote")).urgency == urgency_level::urgent);
        CPPUNIT_ASSERT(decode_configuration(encode_configuration(before)) == before);
        CPPUNIT_ASSERT(decode_configuration(encode_configuration({})) == configuration{});
    }

    void errors_carry_the_json_pointer()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("/services/a/time_limit"),
                             error_path_of(R"({"services": {"a": {"time_limit": 5}}})"));
        CPPUNIT_ASSERT_EQUAL(std::string("/services/a/time_limit_ms"),
                             error_path_of(R"({"services": {"a": {"time_limit_ms": 0}}})"));
        CPPUNIT_ASSERT_EQUAL(std::string("/services/a/queue_limit"),
                             error_path_of(R"({"services": {"a": {"queue_limit": 4294967296}}})"));
        CPPUNIT_ASSERT_EQUAL(std::string("/teams/t/slot_quota"),
                             error_path_of(R"({"teams": {"t": {"slot_quota": -1}}})"));
        CPPUNIT_ASSERT_EQUAL(std::string("/services/a/idempotent"),
                             error_path_of(R"({"services": {"a": {"idempotent": "yes"}}})"));
        CPPUNIT_ASSERT_EQUAL(std::string("/services/a~1b"),
                             error_path_of(R"({"services": {"a/b": {}}})"));
        CPPUNIT_ASSERT_EQUAL(std::string("/zones"), error_path_of(R"({"zones": []})"));
        CPPUNIT_ASSERT_EQUAL(std::string(""), error_path_of("{"));
    }

    void intent_is_a_merge_patch()
    {
        const auto intent = intent_document::parse(
            R"({"services": {"quote": {"rate_limit_per_s": null}, "booking": null}})");
        const configuration after =
            apply_intent(sample_configuration(), intent.json(), revision_id(5));

        CPPUNIT_ASSERT(after->revision == revision_id(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, after->services.size());
        CPPUNIT_ASSERT(!after->services.at(service_name("quote")).rate_limit);
        CPPUNIT_ASSERT(after->teams == sample_configuration()->teams);
    }

    void intent_cannot_set_the_revision()
    {
        const auto intent = intent_document::parse(R"({"revision": 9})");
        CPPUNIT_ASSERT_THROW(apply_intent(sample_configuration(), intent.json(), revision_id(5)),
                             configuration_error);
        CPPUNIT_ASSERT_THROW(intent_document::parse("[]"), configuration_error);
    }

    void change_record_round_trips()
    {
        const auto intent = intent_document::parse(R"({"teams": {"counter": null}})");
        const configuration after =
            apply_intent(sample_configuration(), intent.json(), revision_id(5));
        const change_record before(change_record_fields{
            .revision = revision_id(5),
            .base = revision_id(4),
            .plan = plan_id("0a"),
            .author = operator_name("ana"),
            .confirmed_at = wall_time(std::chrono::milliseconds(7)),
            .intent = intent,
            .differences = compare_configurations(sample_configuration(), after),
        });

        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, before->differences.size());
        CPPUNIT_ASSERT(decode_change_record(encode_change_record(before)) == before);
        CPPUNIT_ASSERT_THROW(decode_change_record("{}"), configuration_error);
    }

    void host_list_round_trips()
    {
        const host_list_snapshot before(host_list_fields{
            .peers = {{host_name("e1"), zone_name("a"), {"127.0.0.1", 7001}, false}},
            .targets = {{target_name("t1"), zone_name("a"), {"127.0.0.1", 9001}, 8, true}},
        });
        CPPUNIT_ASSERT(decode_host_list(encode_host_list(before), "") == before);
    }

    void seat_record_round_trips()
    {
        const seat_record before{host_name("e1"), zone_name("a"), incarnation_id(3),
                                 wall_time(std::chrono::milliseconds(9))};
        CPPUNIT_ASSERT(decode_seat_record(encode_seat_record(before)) == before);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_json_test);

} // namespace
