#include "papayafall/daemon/peers/qt_message_authenticator.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string_view>

using namespace papayafall;

namespace {

const bytes key("0123456789abcdef");

class message_authenticator_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(message_authenticator_test);
    CPPUNIT_TEST(matches_reference_implementation);
    CPPUNIT_TEST(depends_on_key_context_and_message);
    CPPUNIT_TEST_SUITE_END();

    /// Expected value computed with Python's `hmac` with `hashlib.blake2b(digest_size=32)`.
    void matches_reference_implementation()
    {
        constexpr std::string_view expected("\xc6\x4e\xc6\x06\xbb\xcd\x02\xf9"
                                            "\x41\x6a\xed\xe9\xb9\x74\xa9\xd6");
        const authentication_tag tag = qt_message_authenticator(key).sign("context", "message");
        CPPUNIT_ASSERT(expected == std::string_view(tag.data(), tag.size()));
    }

    void depends_on_key_context_and_message()
    {
        const qt_message_authenticator signer(key);
        const authentication_tag tag = signer.sign("context", "message");
        const qt_message_authenticator other(bytes("0123456789abcdeg"));
        CPPUNIT_ASSERT(tag != other.sign("context", "message"));
        CPPUNIT_ASSERT(tag != signer.sign("Context", "message"));
        CPPUNIT_ASSERT(tag != signer.sign("context", "massage"));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(message_authenticator_test);
