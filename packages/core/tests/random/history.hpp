#pragma once

#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace papayafall::random_runs {

/// A promise of the system did not hold in a run.
class violation : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

/// What a caller asked for under one content; resubmissions share it.
struct submission_facts {
    std::vector<std::string> bodies;
    bool may_repeat = false; ///< an unkeyed idempotent single request
};

/// What happened, as seen from outside the program; throws `violation` at the first breach.
class history {
  public:
    void add_submission(const std::string& name, submission_facts facts);

    /// Adds a step to the trace of `name`, which is part of the report of a violation.
    void add_trace_step(const std::string& name, const std::string& step);

    /// The steps of `name`, one a line.
    std::string trace(const std::string& name) const;

    /// A target started the task with this body.
    void on_start(const std::string& body);

    /// The host that decided answered a request of `name`.
    void on_decision(const std::string& name, const answer& result);

    /// A caller got an answer to a request of `name`.
    void on_answer(const std::string& name, const answer& result);

    /// A host of this name and incarnation brought a revision into force.
    void on_revision(const std::string& process_name, std::uint64_t revision);

    std::uint64_t starts() const noexcept { return starts_; }

    std::uint64_t count_answers(const std::string& kind) const;

    /// Number of answers of each kind.
    const std::map<std::string, std::uint64_t>& answer_counts() const noexcept { return answers_; }

  private:
    std::uint64_t starts_of(const std::string& name) const;

    std::map<std::string, submission_facts> submissions_;
    std::map<std::string, std::string> submission_by_body_; ///< submission of each body
    std::map<std::string, std::uint64_t> starts_by_body_;
    std::map<std::string, std::vector<std::string>> traces_;
    std::map<std::string, std::uint64_t> last_revision_by_process_;
    std::map<std::string, std::uint64_t> answers_;
    std::uint64_t starts_ = 0;
};

} // namespace papayafall::random_runs
