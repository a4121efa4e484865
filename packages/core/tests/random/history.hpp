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

/// Thrown when a guarantee of the system does not hold in a run.
class violation : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

/// Expected behaviour of one submission; its resubmissions share it.
struct submission_facts {
    std::vector<std::string> bodies;
    /// Whether its task may start more than once: an idempotent single request without a key.
    bool may_repeat = false;
};

/// Records the externally visible events of a run and checks the guarantees of the system against
/// them. Throws `violation` at the first one that does not hold.
class history {
  public:
    void add_submission(const std::string& name, submission_facts facts);

    /// Adds a step to the trace of submission `name`, which is part of the report of a violation.
    void add_trace_step(const std::string& name, const std::string& step);

    /// Returns the steps of submission `name`, one per line.
    std::string trace(const std::string& name) const;

    /// Called when a target starts the task with this body.
    void on_start(const std::string& body);

    /// Called when the host that decides on a request of submission `name` answers it.
    void on_decision(const std::string& name, const answer& result);

    /// Called when a caller receives an answer to a request of submission `name`.
    void on_answer(const std::string& name, const answer& result);

    /// Called when a process, one incarnation of a host, applies a revision of the configuration.
    void on_revision(const std::string& process_name, std::uint64_t revision);

    /// Returns the number of task starts on all targets.
    std::uint64_t starts() const noexcept { return starts_; }

    /// Returns the number of answers whose kind starts with `kind`.
    std::uint64_t count_answers(const std::string& kind) const;

    /// Returns the number of answers by kind: `complete`, or the run state and the error name.
    const std::map<std::string, std::uint64_t>& answer_counts() const noexcept { return answers_; }

  private:
    std::uint64_t starts_of(const std::string& name) const;

    std::map<std::string, submission_facts> submissions_;
    std::map<std::string, std::string> submission_by_body_;
    std::map<std::string, std::uint64_t> starts_by_body_;
    std::map<std::string, std::vector<std::string>> traces_;
    std::map<std::string, std::uint64_t> last_revision_by_process_;
    std::map<std::string, std::uint64_t> answers_;
    std::uint64_t starts_ = 0;
};

} // namespace papayafall::random_runs
