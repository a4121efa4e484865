#include "cases.hpp"

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <map>
#include <string>

/// Plays one case: `stand_in CASE RECORD DIRECTORY`. The variable TROUBLE=0 leaves the disruption
/// out.
int main(int argc, char** argv)
{
    using namespace review;
    const std::map<std::string, case_function> cases{
        {"cancel_at_other_daemon", cancel_at_other_daemon},
        {"cancel_after_route_change", cancel_after_route_change},
        {"copy_after_cancel", copy_after_cancel},
        {"request_after_partition", request_after_partition},
        {"label_after_restart", label_after_restart},
    };
    if (argc != 4 || !cases.contains(argv[1])) {
        std::cerr << "usage: stand_in CASE RECORD DIRECTORY\n";
        return static_cast<int>(verdict::not_run);
    }
    const char* const trouble = std::getenv("TROUBLE");
    const bool disrupted = trouble == nullptr || std::string(trouble) != "0";
    record log(argv[2]);
    log.add(std::string(argv[1]) + (disrupted ? ", with" : ", without") + " the disruption");
    verdict result = verdict::not_run;
    try {
        deployment system(argv[3], log);
        result = cases.at(argv[1])(system, disrupted);
    } catch (const std::exception& ec) {
        log.add(std::string("not run: ") + ec.what());
    }
    log.add("exit code " + std::to_string(static_cast<int>(result)));
    return static_cast<int>(result);
}
