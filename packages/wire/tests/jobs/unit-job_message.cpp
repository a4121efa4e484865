#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/jobs/job_message.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <random>
#include <vector>

namespace papayafall::jobs {

namespace {

constexpr time_point sent_at{std::chrono::seconds(50)};
constexpr time_point received_at{std::chrono::seconds(9)};

job_order sample_order(time_point now)
{
    job_spec_fields job{.id = job_id("0123456789abcdef"), .payload = "payload"};
    job.options.best_effort = true;
    job.steps.push_back({.count = 4,
                         .need = {.cpu_millis = 500, .memory_mb = 256, .accelerators = 1},
                         .estimated_run_time = std::chrono::milliseconds(900),
                         .required_label = label_name("b"),
                         .preferred_rack = label_name("r1-3"),
                         .max_per_worker = 2,
                         .speculative = true});
    job.steps.push_back({.count = 1, .predecessors = {0}});
    return job_order_fields{.job = std::move(job),
                            .queue = queue_name("check"),
                            .service = service_name("desk"),
                            .configuration_version = 7,
                            .max_attempts = 3,
                            .priority = 1,
                            .received_at = now - std::chrono::milliseconds(5),
                            .objective_deadline = now + std::chrono::milliseconds(100),
                            .expires_at = now + std::chrono::milliseconds(300)};
}

queue_configuration sample_configuration()
{
    queue_configuration_fields it{.version = 12};
    it.queues.push_back({.name = queue_name("check"),
                         .hostname = "desk.example",
                         .path_prefix = "/check/",
                         .service = service_name("desk"),
                         .priority = 1,
                         .max_attempts = 3,
                         .objective_factor = 1.6,
                         .objective_offset = std::chrono::milliseconds(60),
                         .timeout = std::chrono::milliseconds(1500)});
    it.services.push_back({.name = service_name("desk"), .enforces_capacity = false});
    return it;
}

std::vector<job_message> sample_messages(time_point now)
{
    return {link_hello{host_name("entry-1"), incarnation_id(3)},
            link_keepalive{},
            link_load{{.accepting = true,
                       .free_cpu_millis = -5,
                       .total_cpu_millis = 64'000,
                       .predicted_wait = std::chrono::milliseconds(7)}},
            link_delegation{delegation_id(9), sample_order(now)},
            link_withdrawal{delegation_id(9)},
            link_outcome{delegation_id(9), job_outcome::interrupted, {}},
            link_outcome{delegation_id(10),
                         job_outcome::refused,
                         {refusal_reason::displaced, now + std::chrono::seconds(2)}},
            link_evacuation{
                {.zone = zone_name("zone-a"), .revision = store_revision(12), .ended = true}},
            link_release{worker_id("w-1")},
            link_configuration_version{12},
            link_configuration_request{},
            link_configuration{sample_configuration()},
            link_task_crashes{{job_id("0123456789abcdef"), 1, 2}, 3},
            link_cancellation{{.job = job_id("0123456789abcdef"),
                               .found = true,
                               .forget_at = now + std::chrono::seconds(40)}},
            link_cancellation_request{
                {.job = job_id("0123456789abcdef"), .forget_at = now + std::chrono::seconds(41)}},
            link_cancellation_answer{job_id("0123456789abcdef"), true}};
}

class job_message_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_message_test);
    CPPUNIT_TEST(every_message_round_trips);
    CPPUNIT_TEST(deadlines_follow_the_clock_of_the_receiver);
    CPPUNIT_TEST(truncated_frames_are_rejected);
    CPPUNIT_TEST(invalid_sizes_are_rejected);
    CPPUNIT_TEST(changed_frames_are_decoded_or_rejected);
    CPPUNIT_TEST(unknown_versions_and_kinds_are_rejected);
    CPPUNIT_TEST_SUITE_END();

  public:
    void every_message_round_trips()
    {
        for (const job_message& it : sample_messages(sent_at)) {
            const std::string frame = encode_job_frame(it, sent_at);
            CPPUNIT_ASSERT_EQUAL(frame.size(), job_frame_size(frame).value());
            CPPUNIT_ASSERT(decode_job_frame(frame, sent_at) == it);
        }
    }

    void deadlines_follow_the_clock_of_the_receiver()
    {
        const std::string frame =
            encode_job_frame(link_delegation{delegation_id(1), sample_order(sent_at)}, sent_at);
        const job_message expected = link_delegation{delegation_id(1), sample_order(received_at)};
        CPPUNIT_ASSERT(decode_job_frame(frame, received_at) == expected);
    }

    void truncated_frames_are_rejected()
    {
        for (const job_message& it : sample_messages(sent_at)) {
            const std::string frame = encode_job_frame(it, sent_at);
            for (std::size_t n = 0; n < frame.size(); ++n) {
                CPPUNIT_ASSERT_THROW(decode_job_frame(frame.substr(0, n), sent_at), message_error);
            }
        }
    }

    void invalid_sizes_are_rejected()
    {
        CPPUNIT_ASSERT(!job_frame_size("abc"));
        CPPUNIT_ASSERT_THROW(job_frame_size(std::string(4, '\0')), message_error);
        CPPUNIT_ASSERT_THROW(job_frame_size(std::string(4, '\xff')), message_error);
    }

    void changed_frames_are_decoded_or_rejected()
    {
        constexpr int inputs_per_message = 3000;
        std::mt19937_64 rng(1);
        for (const job_message& message : sample_messages(sent_at)) {
            const std::string frame = encode_job_frame(message, sent_at);
            for (int n = 0; n < inputs_per_message; ++n) {
                std::string changed = frame;
                for (std::uint64_t changes = 1 + rng() % 4; changes > 0; --changes) {
                    changed[rng() % changed.size()] = static_cast<char>(rng());
                }
                try {
                    decode_job_frame(changed, sent_at);
                } catch (const message_error&) {
                    continue;
                }
            }
        }
    }

    void unknown_versions_and_kinds_are_rejected()
    {
        std::string frame = encode_job_frame(link_keepalive{}, sent_at);
        frame[5] = 99;
        CPPUNIT_ASSERT_THROW(decode_job_frame(frame, sent_at), message_error);
        frame[4] = 99;
        CPPUNIT_ASSERT_THROW(decode_job_frame(frame, sent_at), message_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_message_test);

} // namespace

} // namespace papayafall::jobs
