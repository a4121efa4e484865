#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/peer/datagram.hpp"
#include "papayafall/wire/peer/message_limits.hpp"
#include "support/hash_authenticator.hpp"
#include "support/peer_samples.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace papayafall;

namespace {

const hash_authenticator authenticator(1);

error_id decode_error(std::string_view datagram)
{
    try {
        decode_datagram(datagram, authenticator);
    } catch (const message_error& ex) {
        return ex.id();
    }
    CPPUNIT_FAIL("no message_error was thrown");
    return error_id::invariant_violated;
}

class datagram_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(datagram_test);
    CPPUNIT_TEST(heartbeat_round_trips);
    CPPUNIT_TEST(truncated_or_changed_datagrams_are_rejected);
    CPPUNIT_TEST(version_key_and_size_are_checked);
    CPPUNIT_TEST(random_bytes_are_rejected);
    CPPUNIT_TEST_SUITE_END();

  public:
    void heartbeat_round_trips()
    {
        const std::string datagram = encode_datagram(sample_heartbeat(), authenticator);
        CPPUNIT_ASSERT(decode_datagram(datagram, authenticator) == sample_heartbeat());
    }

    void truncated_or_changed_datagrams_are_rejected()
    {
        const std::string datagram = encode_datagram(sample_heartbeat(), authenticator);
        for (std::size_t n = 0; n < datagram.size(); ++n) {
            CPPUNIT_ASSERT_THROW(decode_datagram(datagram.substr(0, n), authenticator),
                                 message_error);
        }
        for (std::size_t n = 0; n < 8 * datagram.size(); ++n) {
            std::string flipped = datagram;
            flipped[n / 8] = static_cast<char>(flipped[n / 8] ^ (1 << (n % 8)));
            CPPUNIT_ASSERT_THROW(decode_datagram(flipped, authenticator), message_error);
        }
    }

    void version_key_and_size_are_checked()
    {
        std::string datagram = encode_datagram(sample_heartbeat(), hash_authenticator(2));
        CPPUNIT_ASSERT(decode_error(datagram) == error_id::message_not_authentic);
        datagram[0] = peer_protocol_version + 1;
        CPPUNIT_ASSERT(decode_error(datagram) == error_id::unsupported_version);
        datagram.resize(max_datagram_size + 1);
        CPPUNIT_ASSERT(decode_error(datagram) == error_id::message_too_large);

        const heartbeat large = sample_heartbeat().with([](heartbeat_fields& it) {
            it.leaving_targets.resize(200, target_name("target-name"));
        });
        CPPUNIT_ASSERT_THROW(encode_datagram(large, authenticator), message_error);
    }

    void random_bytes_are_rejected()
    {
        std::mt19937 random(7);
        for (std::size_t n = 0; n < 20'000; ++n) {
            std::string datagram(random() % 200, '\0');
            for (char& it : datagram) {
                it = static_cast<char>(random());
            }
            CPPUNIT_ASSERT_THROW(decode_datagram(datagram, authenticator), message_error);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(datagram_test);

} // namespace
