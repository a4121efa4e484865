#include "support/test_application.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/daemon/control/control_thread.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <semaphore>

using namespace papayafall;

namespace {

/// Answers each `call_closed` event as cancelled; an event for call 0 violates an invariant.
class scripted_controller : public controller {
  public:
    std::string_view name() const noexcept override { return "scripted"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& /*now*/) override
    {
        const call_id call = std::get<call_closed>(incoming).call;
        ensure(call.value() != 0, "call 0 must not be used");
        board.outbox.post(answer_call{call, failure{.id = error_id::cancelled}});
    }

    void on_tick(blackboard& /*board*/, const clock_reading& /*now*/) override {}
};

/// Counts the actions that the control thread forwards.
class counting_sink : public action_sink {
  public:
    void post(action /*requested*/) override
    {
        ++count;
        action_posted.release();
    }

    std::atomic<int> count = 0;
    std::counting_semaphore<> action_posted{0};
};

std::unique_ptr<engine> make_scripted_engine()
{
    std::vector<std::unique_ptr<controller>> controllers;
    controllers.push_back(std::make_unique<scripted_controller>());
    return std::make_unique<engine>(std::make_unique<blackboard>(self_state(), core_parameters()),
                                    std::move(controllers));
}

class control_thread_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(control_thread_test);
    CPPUNIT_TEST(events_posted_before_the_start_are_handled);
    CPPUNIT_TEST(nothing_runs_after_an_exception);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { ensure_application(); }

    void events_posted_before_the_start_are_handled()
    {
        counting_sink actions;
        control_thread control(make_scripted_engine(), clock_, [](const std::exception&) {});
        control.post(call_closed{call_id(1)});
        control.start(actions);
        control.post(call_closed{call_id(2)});
        CPPUNIT_ASSERT(actions.action_posted.try_acquire_for(std::chrono::seconds(20)));
        CPPUNIT_ASSERT(actions.action_posted.try_acquire_for(std::chrono::seconds(20)));
    }

    void nothing_runs_after_an_exception()
    {
        counting_sink actions;
        std::atomic<int> exceptions = 0;
        std::binary_semaphore failed{0};
        control_thread control(make_scripted_engine(), clock_, [&](const std::exception&) {
            ++exceptions;
            failed.release();
        });
        control.start(actions);
        control.post(call_closed{call_id(0)});
        CPPUNIT_ASSERT(failed.try_acquire_for(std::chrono::seconds(20)));
        control.post(call_closed{call_id(0)});
        control.post(call_closed{call_id(1)});
        control.stop();
        CPPUNIT_ASSERT_EQUAL(1, exceptions.load());
        CPPUNIT_ASSERT_EQUAL(0, actions.count.load());
    }

  private:
    system_clock_source clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_thread_test);

} // namespace
