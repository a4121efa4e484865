#include "dispatcher_process.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/daemon/logging/log.hpp"
#include "papayafall/daemon/process/dispatcher_process.hpp"
#include "papayafall/daemon/process/signal_watcher.hpp"
#include "papayafall/wire/settings/settings.hpp"

#include <CLI/CLI.hpp>
#include <QCoreApplication>

#include <iostream>
#include <string>

namespace {

using namespace papayafall;

// Exit codes, as documented in docs/OPERATIONS.md.
constexpr int exit_success = 0;
constexpr int exit_invalid_settings = 2;
constexpr int exit_fault = 70;

/// Has Qt wait for sockets without GLib, whose event loop visits every socket several times in each
/// turn. To be called before the application object is made.
void use_plain_event_loop()
{
    qputenv("QT_NO_GLIB", "1");
}

int run_dispatcher(const settings& wanted, int argc, char** argv)
{
    use_plain_event_loop();
    QCoreApplication application(argc, argv);
    open_log(wanted->log);
    dispatcher_process process(wanted, [](exit_reason reason) {
        const int code = reason == exit_reason::stopped ? exit_success : exit_fault;
        QMetaObject::invokeMethod(
            qApp, [code] { QCoreApplication::exit(code); }, Qt::QueuedConnection);
    });
    const signal_watcher signals({
        .stop = [&process] { process.request_shutdown(); },
        .reload = [&process] { process.reload(); },
    });
    process.start();
    const int code = QCoreApplication::exec();
    process.stop();
    write_log(log_level::info, "process ended", {{"code", static_cast<std::uint64_t>(code)}});
    return code;
}

int run_job_dispatcher(const std::string& path, int argc, char** argv)
{
    const adapter::dispatcher_settings wanted = adapter::load_dispatcher_settings(path);
    use_plain_event_loop();
    QCoreApplication application(argc, argv);
    open_log(wanted->log);
    adapter::job_dispatcher_process process(wanted, path, [](int code) {
        QMetaObject::invokeMethod(
            qApp, [code] { QCoreApplication::exit(code); }, Qt::QueuedConnection);
    });
    const signal_watcher signals({
        .stop = [&process] { process.request_shutdown(); },
        .reload = [&process] { process.reload(); },
    });
    process.start();
    return QCoreApplication::exec();
}

} // namespace

/// The dispatcher daemon; `papayafalld --help` describes its options.
int main(int argc, char** argv)
{
    CLI::App app("papayafalld: dispatcher for sub-second tasks");
    std::string path;
    bool check_only = false;
    bool job_dispatcher = false;
    app.add_option("--settings", path, "JSON file with the settings of this host")
        ->envname(adapter::settings_path_variable)
        ->required();
    app.add_flag("--job-dispatcher", job_dispatcher,
                 "dispatch jobs to the workers of the platform's store");
    app.add_flag("--check", check_only, "check the settings and exit");
    app.set_version_flag("--version", "papayafalld 0.1.0");
    CLI11_PARSE(app, argc, argv);
    try {
        if (job_dispatcher) {
            if (check_only) {
                std::cout << "settings of host "
                          << adapter::load_dispatcher_settings(path)->host.text() << " are valid\n";
                return exit_success;
            }
            return run_job_dispatcher(path, argc, argv);
        }
        const settings wanted = load_settings(path);
        if (check_only) {
            std::cout << "settings of host " << wanted->host.text() << " are valid\n";
            return exit_success;
        }
        return run_dispatcher(wanted, argc, argv);
    } catch (const configuration_error& ex) {
        std::cerr << "papayafalld: " << ex.what() << '\n';
        return exit_invalid_settings;
    } catch (const std::exception& ex) {
        std::cerr << "papayafalld: " << ex.what() << '\n';
        return exit_fault;
    }
}
