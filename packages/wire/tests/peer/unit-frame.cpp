#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/peer/frame.hpp"
#include "papayafall/wire/peer/message_limits.hpp"
#include "support/allocation_limit.hpp"
#include "support/hash_authenticator.hpp"
#include "support/peer_samples.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstring>
#include <functional>
#include <random>
#include <set>

using namespace papayafall;

namespace {

const hash_authenticator key(1);

/// More than the encoding and decoding of a sample needs at once, in bytes.
constexpr std::size_t small_allocation = 65'536;

constexpr std::size_t version_offset = 4;
constexpr std::size_t kind_offset = 5;

frame_context sample_context()
{
    return {link_role::initiator, 3, {1, 1}, {2, 2}};
}

std::string encode(const peer_message& message)
{
    return encode_frame(message, sample_context(), key, sent_at);
}

peer_message decode(std::string_view frame)
{
    return decode_frame(frame, sample_context(), key, sent_at);
}

/// A frame with the given content and a size field and tag that fit it.
std::string seal(std::string frame)
{
    const auto size = static_cast<std::uint32_t>(frame.size() + authentication_tag_size);
    std::memcpy(frame.data(), &size, sizeof(size));
    const frame_context context = sample_context();
    std::string prefix(1, static_cast<char>(context.sender));
    prefix.append(reinterpret_cast<const char*>(&context.sequence), sizeof(context.sequence));
    prefix.append(context.initiator_nonce.begin(), context.initiator_nonce.end());
    prefix.append(context.responder_nonce.begin(), context.responder_nonce.end());
    const authentication_tag tag = key.sign(prefix, frame);
    return frame.append(tag.data(), tag.size());
}

std::string unseal(std::string frame)
{
    frame.resize(frame.size() - authentication_tag_size);
    return frame;
}

void expect_error(error_id id, const std::function<void()>& attempt)
{
    try {
        attempt();
    } catch (const message_error& ec) {
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(id), static_cast<int>(ec.id()));
        return;
    }
    CPPUNIT_FAIL("no message_error was thrown");
}

class frame_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(frame_test);
    CPPUNIT_TEST(every_kind_survives_a_round_trip);
    CPPUNIT_TEST(deadlines_cross_as_remaining_time);
    CPPUNIT_TEST(truncated_frames_are_rejected_at_each_length);
    CPPUNIT_TEST(truncated_content_is_rejected_at_each_length);
    CPPUNIT_TEST(each_flipped_bit_is_rejected);
    CPPUNIT_TEST(frames_of_another_place_are_not_authentic);
    CPPUNIT_TEST(another_key_is_not_authentic);
    CPPUNIT_TEST(unknown_version_and_kind_are_rejected);
    CPPUNIT_TEST(sizes_out_of_bounds_are_rejected);
    CPPUNIT_TEST(false_lengths_allocate_nothing_large);
    CPPUNIT_TEST(random_content_of_an_authentic_peer_never_escapes_the_typed_error);
    CPPUNIT_TEST(too_many_tasks_are_rejected);
    CPPUNIT_TEST_SUITE_END();

  public:
    void every_kind_survives_a_round_trip()
    {
        std::set<std::size_t> kinds;
        for (const peer_message& it : sample_messages()) {
            const std::string frame = encode(it);
            CPPUNIT_ASSERT(frame_size(frame, max_frame_size) == frame.size());
            CPPUNIT_ASSERT(decode(frame) == it);
            CPPUNIT_ASSERT(peer_message_name(it.index()) != "unknown");
            kinds.insert(it.index());
        }
        CPPUNIT_ASSERT_EQUAL(peer_message_kinds, kinds.size());
    }

    void deadlines_cross_as_remaining_time()
    {
        const std::string frame = encode(forwarded_request{correlation_id(1), sample_request()});
        const time_point received_at{duration(77)};
        const peer_message message = decode_frame(frame, sample_context(), key, received_at);
        const auto& received = std::get<forwarded_request>(message);
        CPPUNIT_ASSERT(received.content->deadline == received_at + duration(800'000));

        const std::string endless = encode(delegated_work{exchange_id(1), sample_work()});
        const peer_message work = decode_frame(endless, sample_context(), key, received_at);
        CPPUNIT_ASSERT(std::get<delegated_work>(work).work->deadline == no_deadline);
    }

    void truncated_frames_are_rejected_at_each_length()
    {
        for (const peer_message& it : sample_messages()) {
            const std::string frame = encode(it);
            for (std::size_t n = 0; n < frame.size(); ++n) {
                expect_error(error_id::malformed_message, [&] { decode(frame.substr(0, n)); });
            }
        }
    }

    void truncated_content_is_rejected_at_each_length()
    {
        for (const peer_message& it : sample_messages()) {
            const std::string content = unseal(encode(it));
            for (std::size_t n = kind_offset + 1; n < content.size(); ++n) {
                expect_error(error_id::malformed_message,
                             [&] { decode(seal(content.substr(0, n))); });
            }
            expect_error(error_id::malformed_message, [&] { decode(seal(content + '\0')); });
        }
    }

    void each_flipped_bit_is_rejected()
    {
        const std::string frame = encode(forwarded_request{correlation_id(1), sample_request()});
        for (std::size_t n = 0; n < 8 * frame.size(); ++n) {
            std::string flipped = frame;
            flipped[n / 8] = static_cast<char>(flipped[n / 8] ^ (1 << (n % 8)));
            CPPUNIT_ASSERT_THROW(decode(flipped), message_error);
        }
    }

    void frames_of_another_place_are_not_authentic()
    {
        const std::string frame = encode(link_heartbeat{});
        const frame_context here = sample_context();
        const std::vector<frame_context> others = {
            {link_role::responder, here.sequence, here.initiator_nonce, here.responder_nonce},
            {here.sender, here.sequence + 1, here.initiator_nonce, here.responder_nonce},
            {here.sender, here.sequence, {9}, here.responder_nonce},
            {here.sender, here.sequence, here.initiator_nonce, {9}},
        };
        for (const frame_context& it : others) {
            expect_error(error_id::message_not_authentic,
                         [&] { decode_frame(frame, it, key, sent_at); });
        }
    }

    void another_key_is_not_authentic()
    {
        const std::string frame = encode(link_heartbeat{});
        const hash_authenticator other(2);
        expect_error(error_id::message_not_authentic,
                     [&] { decode_frame(frame, sample_context(), other, sent_at); });
    }

    void unknown_version_and_kind_are_rejected()
    {
        std::string version = unseal(encode(link_heartbeat{}));
        version[version_offset] = peer_protocol_version + 1;
        expect_error(error_id::unsupported_version, [&] { decode(seal(version)); });

        std::string kind = unseal(encode(link_heartbeat{}));
        kind[kind_offset] = static_cast<char>(peer_message_kinds);
        expect_error(error_id::malformed_message, [&] { decode(seal(kind)); });
    }

    void sizes_out_of_bounds_are_rejected()
    {
        CPPUNIT_ASSERT(!frame_size("\x16\x00\x00", max_frame_size));
        expect_error(error_id::message_too_large,
                     [] { frame_size("\xff\xff\xff\xff", max_frame_size); });
        expect_error(error_id::malformed_message,
                     [] { frame_size(std::string_view("\0\0\0\0", 4), max_frame_size); });

        const peer_message large = delegated_work{
            exchange_id(1), work_item({.body = bytes(std::string(max_frame_size, 'x'))})};
        expect_error(error_id::message_too_large, [&] { encode(large); });
    }

    void false_lengths_allocate_nothing_large()
    {
        const std::uint32_t lie = 0xfffffff0;
        for (const peer_message& it : sample_messages()) {
            const std::string content = unseal(encode(it));
            for (std::size_t n = kind_offset + 1; n + sizeof(lie) <= content.size(); ++n) {
                std::string changed = content;
                std::memcpy(&changed[n], &lie, sizeof(lie));
                const std::string frame = seal(changed);
                const allocation_limit limit(small_allocation);
                try {
                    decode(frame);
                } catch (const message_error&) {
                    continue;
                }
            }
        }
    }

    void random_content_of_an_authentic_peer_never_escapes_the_typed_error()
    {
        std::mt19937 random(20240611);
        const std::vector<peer_message> samples = sample_messages();
        for (std::size_t n = 0; n < 20'000; ++n) {
            std::string content = unseal(encode(samples[n % samples.size()]));
            for (std::size_t changes = random() % 4 + 1; changes > 0; --changes) {
                const std::size_t at = kind_offset + random() % (content.size() - kind_offset);
                content[at] = static_cast<char>(random());
            }
            const std::string frame = seal(content);
            const allocation_limit limit(small_allocation);
            try {
                decode(frame);
            } catch (const message_error&) {
                continue;
            }
        }
    }

    void too_many_tasks_are_rejected()
    {
        const request job = sample_request().with(
            [](request_fields& it) { it.tasks.resize(max_tasks_per_job + 1); });
        expect_error(error_id::message_too_large, [&] {
            encode(forwarded_request{correlation_id(1), job});
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_test);

} // namespace
