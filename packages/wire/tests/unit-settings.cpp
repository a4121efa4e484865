#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/settings/settings.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace papayafall;

namespace {

nlohmann::json valid_document()
{
    return nlohmann::json::parse(R"({
        "host": "a1",
        "zone": "a",
        "callers": {"address": "127.0.0.1", "port": 8080},
        "peers": {"address": "127.0.0.1", "tcp_port": 7000, "udp_port": 7000, "key_file": "k"},
        "platform": {"kind": "memory"}
    })");
}

/// Returns the JSON pointer of the error in `document`; empty if the document is valid.
std::string error_path_of(const nlohmann::json& document)
{
    try {
        parse_settings(document.dump());
    } catch (const configuration_error& ex) {
        return ex.path().empty() ? "/" : ex.path();
    }
    return "";
}

class valid_settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(valid_settings_test);
    CPPUNIT_TEST(missing_sections_get_defaults);
    CPPUNIT_TEST(parameters_are_read_in_milliseconds);
    CPPUNIT_TEST_SUITE_END();

  public:
    void missing_sections_get_defaults()
    {
        const settings read = parse_settings(valid_document().dump());
        CPPUNIT_ASSERT(read->host == host_name("a1"));
        CPPUNIT_ASSERT(read->targets == target_settings{});
        CPPUNIT_ASSERT(read->parameters == core_parameters());
        CPPUNIT_ASSERT(!read->callers.tls);
    }

    void parameters_are_read_in_milliseconds()
    {
        nlohmann::json document = valid_document();
        document["parameters"] = {{"host_timeout_ms", 4000}, {"record_limit", 7}};
        const settings read = parse_settings(document.dump());
        CPPUNIT_ASSERT(read->parameters->host_timeout == std::chrono::seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, read->parameters->record_limit);
    }
};

class invalid_settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(invalid_settings_test);
    CPPUNIT_TEST(unknown_key_is_reported);
    CPPUNIT_TEST(wrong_type_is_reported);
    CPPUNIT_TEST(value_out_of_range_is_reported);
    CPPUNIT_TEST(missing_key_is_reported);
    CPPUNIT_TEST(timeout_must_exceed_the_heartbeat_period);
    CPPUNIT_TEST(unreadable_file_and_invalid_json_throw_configuration_error);
    CPPUNIT_TEST_SUITE_END();

  public:
    void unknown_key_is_reported()
    {
        nlohmann::json document = valid_document();
        document["callers"]["prot"] = 1;
        CPPUNIT_ASSERT_EQUAL(std::string("/callers/prot"), error_path_of(document));
    }

    void wrong_type_is_reported()
    {
        nlohmann::json document = valid_document();
        document["callers"]["port"] = "8080";
        CPPUNIT_ASSERT_EQUAL(std::string("/callers/port"), error_path_of(document));
    }

    void value_out_of_range_is_reported()
    {
        nlohmann::json document = valid_document();
        document["peers"]["udp_port"] = 65'536;
        CPPUNIT_ASSERT_EQUAL(std::string("/peers/udp_port"), error_path_of(document));
    }

    void missing_key_is_reported()
    {
        nlohmann::json document = valid_document();
        document["platform"].erase("kind");
        CPPUNIT_ASSERT_EQUAL(std::string("/platform/kind"), error_path_of(document));
    }

    void timeout_must_exceed_the_heartbeat_period()
    {
        nlohmann::json document = valid_document();
        document["parameters"] = {{"host_timeout_ms", 100}};
        CPPUNIT_ASSERT_EQUAL(std::string("/parameters/host_timeout_ms"), error_path_of(document));
    }

    void unreadable_file_and_invalid_json_throw_configuration_error()
    {
        CPPUNIT_ASSERT_THROW(load_settings("/nonexistent/settings.json"), configuration_error);
        CPPUNIT_ASSERT_THROW(parse_settings("{"), configuration_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(valid_settings_test);
CPPUNIT_TEST_SUITE_REGISTRATION(invalid_settings_test);

} // namespace
