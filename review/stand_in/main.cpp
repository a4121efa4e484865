#include "scenarios.hpp"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <string>

namespace {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

const std::map<std::string, review::scenario> scenarios{
    {"lost-at-shutdown", review::play_lost_at_shutdown},
    {"label-of-former-incarnation", review::play_label_of_former_incarnation},
    {"stale-requests-after-freeze", review::play_stale_requests_after_freeze},
    {"cancel-after-shift", review::play_cancel_after_shift},
    {"crash-by-request", review::play_crash_by_request},
};

} // namespace

/// Plays a case: `stand_in SCENARIO ROOT CASE_FOLDER`. With TROUBLE=0 in the environment it leaves
/// the disruption out.
int main(int argc, char** argv)
{
    if (argc != 4 || !scenarios.contains(argv[1])) {
        std::fprintf(stderr, "usage: stand_in SCENARIO ROOT CASE_FOLDER\n");
        return exit_not_run;
    }
    const char* const variable = std::getenv("TROUBLE");
    const bool trouble = variable == nullptr || std::string(variable) != "0";
    try {
        review::deployment site(argv[2], argv[3]);
        const bool broken = scenarios.at(argv[1])(site, trouble);
        site.out.write(broken ? "the rule is broken" : "the rule held");
        std::printf("%s\n", broken ? "the rule is broken" : "the rule held");
        return broken ? exit_broken : exit_held;
    } catch (const std::exception& ex) {
        std::fprintf(stderr, "the case could not run: %s\n", ex.what());
        return exit_not_run;
    }
}
