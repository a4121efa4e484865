#include "papayafall/core/engine/engine.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <utility>

namespace papayafall {

namespace {

/// Rounds of raised events after one incoming event; more means that controllers feed each other.
constexpr std::size_t max_rounds = 1000;

} // namespace

engine::engine(std::unique_ptr<blackboard> board,
               std::vector<std::unique_ptr<controller>> controllers)
    : board_(std::move(board)), controllers_(std::move(controllers))
{
}

void engine::handle(const event& incoming, const clock_reading& now)
{
    process(incoming, now);
    tick(now);
}

void engine::handle(const std::vector<event>& incoming, const clock_reading& now)
{
    for (const event& it : incoming) {
        process(it, now);
    }
    tick(now);
}

void engine::tick(const clock_reading& now)
{
    for (const auto& it : controllers_) {
        it->on_tick(*board_, now);
        settle(now);
    }
}

std::vector<action> engine::take_actions()
{
    return board_->outbox.drain();
}

void engine::process(const event& incoming, const clock_reading& now)
{
    for (const auto& it : controllers_) {
        it->on_event(*board_, incoming, now);
    }
    settle(now);
}

void engine::settle(const clock_reading& now)
{
    for (std::size_t n = 0; n < max_rounds; ++n) {
        const std::vector<event> raised = board_->raised.drain();
        if (raised.empty()) {
            return;
        }
        for (const event& it : raised) {
            for (const auto& target : controllers_) {
                target->on_event(*board_, it, now);
            }
        }
    }
    throw invariant_error("controllers raise events without end");
}

} // namespace papayafall
