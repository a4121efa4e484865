#include "support/stand_in_target.hpp"

#include <CLI/CLI.hpp>
#include <QCoreApplication>

#include <iostream>

/// Runs stand-in targets on consecutive loopback ports until it is terminated.
int main(int argc, char** argv)
{
    std::size_t count = 1;
    std::uint16_t first_port = 0;
    std::int64_t run_ms = 5;
    papayafall::stand_in_options options;

    CLI::App app("HTTP targets that stand in for real ones in tests and load runs");
    app.add_option("--count", count, "number of targets");
    app.add_option("--first-port", first_port, "port of the first target; 0: any");
    app.add_option("--slots", options.slots, "slots of each target");
    app.add_option("--run-ms", run_ms, "run time of a task that names none");
    app.add_option("--slow-factor", options.slow_factor, "multiplies every run time");
    CLI11_PARSE(app, argc, argv);
    options.run_time = std::chrono::milliseconds(run_ms);

    const QCoreApplication application(argc, argv);
    const papayafall::stand_in_targets targets(count, options, first_port);
    for (std::size_t n = 0; n < targets.size(); ++n) {
        std::cout << targets.port(n) << '\n';
    }
    std::cout.flush();
    return QCoreApplication::exec();
}
