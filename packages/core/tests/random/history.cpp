#include "random/history.hpp"

namespace papayafall::random_runs {

void history::add_submission(const std::string& name, submission_facts facts)
{
    for (const std::string& it : facts.bodies) {
        submission_by_body_[it] = name;
    }
    submissions_[name] = std::move(facts);
}

void history::add_trace_step(const std::string& name, const std::string& step)
{
    traces_[name].push_back(step);
}

std::string history::trace(const std::string& name) const
{
    std::string text;
    const auto found = traces_.find(name);
    if (found == traces_.end()) {
        return text;
    }
    for (const std::string& it : found->second) {
        text += "\n  " + it;
    }
    return text;
}

void history::on_start(const std::string& body)
{
    ++starts_;
    const std::uint64_t count = ++starts_by_body_[body];
    if (count > 1 && !submissions_.at(submission_by_body_.at(body)).may_repeat) {
        throw violation("task " + body + " was started " + std::to_string(count) + " times" +
                        trace(submission_by_body_.at(body)));
    }
}

void history::on_decision(const std::string& name, const answer& result)
{
    const auto* reason = std::get_if<failure>(&result);
    if (reason == nullptr || reason->id == error_id::key_reused) {
        return;
    }
    const std::uint64_t count = starts_of(name);
    if (reason->run == run_state::not_run && count > 0) {
        throw violation("submission " + name + " was answered with not_run (" +
                        std::string(to_string(reason->id)) + ") after " + std::to_string(count) +
                        " starts" + trace(name));
    }
    if (reason->run == run_state::ran && count == 0) {
        throw violation("submission " + name + " was answered with ran but never started");
    }
}

void history::on_answer(const std::string& name, const answer& result)
{
    if (const auto* reason = std::get_if<failure>(&result)) {
        ++answers_[std::string(to_string(reason->run)) + ":" + std::string(to_string(reason->id))];
        return;
    }
    ++answers_["complete"];
    const std::vector<std::string>& bodies = submissions_.at(name).bodies;
    const std::vector<task_answer>& received = std::get<completion>(result)->answers;
    if (received.size() != bodies.size()) {
        throw violation("submission " + name + " received a partial answer");
    }
    for (std::size_t n = 0; n < bodies.size(); ++n) {
        if (received[n].body.view() != "done:" + bodies[n]) {
            throw violation("submission " + name + " received the answer to another request: " +
                            std::string(received[n].body.view()));
        }
    }
}

void history::on_revision(const std::string& process_name, std::uint64_t revision)
{
    std::uint64_t& last = last_revision_by_process_[process_name];
    if (revision <= last) {
        throw violation("process " + process_name + " changed from revision " +
                        std::to_string(last) + " to " + std::to_string(revision));
    }
    last = revision;
}

std::uint64_t history::count_answers(const std::string& kind) const
{
    std::uint64_t total = 0;
    for (const auto& [name, count] : answers_) {
        if (name.starts_with(kind)) {
            total += count;
        }
    }
    return total;
}

std::uint64_t history::starts_of(const std::string& name) const
{
    std::uint64_t total = 0;
    for (const std::string& it : submissions_.at(name).bodies) {
        const auto found = starts_by_body_.find(it);
        total += found == starts_by_body_.end() ? 0 : found->second;
    }
    return total;
}

} // namespace papayafall::random_runs
