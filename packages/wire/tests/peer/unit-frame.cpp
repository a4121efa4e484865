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

const hash_authenticator authenticator(1);

/// More bytes than any single allocation for encoding and decoding a sample needs.
constexpr std::size_t allocation_limit_bytes = 65'536;

constexpr std::size_t version_offset = 4;
constexpr std::size_t kind_offset = 5;

frame_context sample_context()
{
    return {link_role::initiator, 3, {1, 1}, {2, 2}};
}

std::string encode(const peer_message& message)
{
    return encode_frame(message, sample_context(), authenticator, sent_at);
}

peer_message decode(std::string_view frame)
{
    return decode_frame(frame, sample_context(), authenticator, sent_at);
}

/// Sets the size field of `frame` to its final size and appends a valid tag.
std::string add_size_and_tag(std::string frame)
{
    const auto size = static_cast<std::uint32_t>(frame.size() + authentication_tag_size);
    std::memcpy(frame.data(), &size, sizeof(size));
    const frame_context context = sample_context();
    std::string encoded_context(1, static_cast<char>(context.sender));
    encoded_context.append(reinterpret_cast<const char*>(&context.sequence),
                           sizeof(context.sequence));
    encoded_context.append(context.initiator_nonce.begin(), context.initiator_nonce.end());
    encoded_context.append(context.responder_nonce.begin(), context.responder_nonce.end());
    const authentication_tag tag = authenticator.sign(encoded_context, frame);
    return frame.append(tag.data(), tag.size());
}

std::string without_tag(std::string frame)
{
    frame.resize(frame.size() - authentication_tag_size);
    return frame;
}

void expect_error(error_id id, const std::function<void()>& attempt)
{
    try {
        attempt();
    } catch (const message_error& ex) {
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(id), static_cast<int>(ex.id()));
        return;
    }
    CPPUNIT_FAIL("no message_error was thrown");
}

class frame_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(frame_test);
    CPPUNIT_TEST(every_kind_round_trips);
    CPPUNIT_TEST(deadlines_are_sent_as_remaining_time);
    CPPUNIT_TEST(truncated_frames_are_rejected_at_each_length);
    CPPUNIT_TEST(truncated_content_is_rejected_at_each_length);
    CPPUNIT_TEST(each_flipped_bit_is_rejected);
    CPPUNIT_TEST(frames_of_another_context_are_not_authentic);
    CPPUNIT_TEST(another_key_is_not_authentic);
    CPPUNIT_TEST(unknown_version_and_kind_are_rejected);
    CPPUNIT_TEST(sizes_out_of_bounds_are_rejected);
    CPPUNIT_TEST(oversized_lengths_cause_no_large_allocation);
    CPPUNIT_TEST(random_content_of_an_authentic_peer_throws_only_message_error);
    CPPUNIT_TEST(too_many_tasks_are_rejected);
    CPPUNIT_TEST_SUITE_END();

  public:
    void every_kind_round_trips()
    {
        std::set<std::size_t> kinds;
        for (const peer_message& it : sample_messages()) {
            const std::string frame = encode(it);
            CPPUNIT_ASSERT(frame_size(frame, max_frame_size) == frame.size());
            CPPUNIT_ASSERT(decode(frame) == it);
            CPPUNIT_ASSERT(peer_message_name(it.index()) != "unknown");
            kinds.insert(it.index());
        }
        CPPUNIT_ASSERT_EQUAL(peer_message_kind_count, kinds.size());
    }

    void deadlines_are_sent_as_remaining_time()
    {
        const std::string frame = encode(forwarded_request{correlation_id(1), sample_request()});
        const time_point received_at{duration(77)};
        const peer_message message =
            decode_frame(frame, sample_context(), authenticator, received_at);
        const auto& received = std::get<forwarded_request>(message);
        CPPUNIT_ASSERT(received.content->deadline == received_at + duration(800'000));

        const std::string frame_without_deadline =
            encode(delegated_work{exchange_id(1), sample_work()});
        const peer_message work =
            decode_frame(frame_without_deadline, sample_context(), authenticator, received_at);
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
            const std::string content = without_tag(encode(it));
            for (std::size_t n = kind_offset + 1; n < content.size(); ++n) {
                expect_error(error_id::malformed_message,
                             [&] { decode(add_size_and_tag(content.substr(0, n))); });
            }
            expect_error(error_id::malformed_message,
                         [&] { decode(add_size_and_tag(content + '\0')); });
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

    void frames_of_another_context_are_not_authentic()
    {
        const std::string frame = encode(link_heartbeat{});
        const frame_context sent_context = sample_context();
        const std::vector<frame_context> other_contexts = {
            {link_role::responder, sent_context.sequence, sent_context.initiator_nonce,
             sent_context.responder_nonce},
            {sent_context.sender, sent_context.sequence + 1, sent_context.initiator_nonce,
             sent_context.responder_nonce},
            {sent_context.sender, sent_context.sequence, {9}, sent_context.responder_nonce},
            {sent_context.sender, sent_context.sequence, sent_context.initiator_nonce, {9}},
        };
        for (const frame_context& it : other_contexts) {
            expect_error(error_id::message_not_authentic,
                         [&] { decode_frame(frame, it, authenticator, sent_at); });
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
        std::string version = without_tag(encode(link_heartbeat{}));
        version[version_offset] = peer_protocol_version + 1;
        expect_error(error_id::unsupported_version, [&] { decode(add_size_and_tag(version)); });

        std::string kind = without_tag(encode(link_heartbeat{}));
        kind[kind_offset] = static_cast<char>(peer_message_kind_count);
        expect_error(error_id::malformed_message, [&] { decode(add_size_and_tag(kind)); });
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

    void oversized_lengths_cause_no_large_allocation()
    {
        const std::uint32_t oversized_length = 0xfffffff0;
        for (const peer_message& it : sample_messages()) {
            const std::string content = without_tag(encode(it));
            for (std::size_t n = kind_offset + 1; n + sizeof(oversized_length) <= content.size();
                 ++n) {
                std::string changed = content;
                std::memcpy(&changed[n], &oversized_length, sizeof(oversized_length));
                const std::string frame = add_size_and_tag(changed);
                const allocation_limit limit(allocation_limit_bytes);
                try {
                    decode(frame);
                } catch (const message_error&) {
                    continue;
                }
            }
        }
    }

    void random_content_of_an_authentic_peer_throws_only_message_error()
    {
        std::mt19937 random(20240611);
        const std::vector<peer_message> samples = sample_messages();
        for (std::size_t n = 0; n < 20'000; ++n) {
            std::string content = without_tag(encode(samples[n % samples.size()]));
            for (std::size_t changes = random() % 4 + 1; changes > 0; --changes) {
                const std::size_t at = kind_offset + random() % (content.size() - kind_offset);
                content[at] = static_cast<char>(random());
            }
            const std::string frame = add_size_and_tag(content);
            const allocation_limit limit(allocation_limit_bytes);
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
